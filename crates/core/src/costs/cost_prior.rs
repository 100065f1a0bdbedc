/// What a request tells about its cost in advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostPrior {
    /// A call, which tells nothing.
    Call,
    /// A generation.
    Generation {
        /// The stated maximum of output tokens.
        max_tokens: u32,
        /// The caller's estimate of the output tokens, if it gave one.
        hint: Option<u32>,
    },
}
