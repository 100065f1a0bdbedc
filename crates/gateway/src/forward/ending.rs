use super::WholeAnswer;

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The whole answer of a plain service.
    pub answer: Option<WholeAnswer>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
}
