/// The requests of an account that one share is for: they compete for the same part of its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AskKind {
    /// Calls of plain services, for which a part of the rate is reserved.
    Call,
    /// Generations.
    Generation,
}
