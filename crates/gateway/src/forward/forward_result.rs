use super::BufferedAnswer;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct ForwardResult {
    /// The whole answer of a plain service.
    pub answer: Option<BufferedAnswer>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
}
