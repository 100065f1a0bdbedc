use super::BufferedAnswer;

/// What remains of a forwarded request for its idempotency claim: to store, release or leave open.
#[derive(Clone, Debug)]
pub struct ForwardResult {
    /// Response of a plain service; `None` for completions and failed calls.
    pub answer: Option<BufferedAnswer>,
    /// Whether an upstream may have executed the request.
    pub may_have_run: bool,
}
