/// Why a call to another daemon has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LinkError {
    /// No connection came about, so the other daemon has seen nothing of the call.
    #[display("not reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection failed lately and the next attempt is not yet due.
    #[display("not reached: waiting before the next attempt")]
    BackingOff,
    /// The call went out and no answer came in time, or the heartbeats stopped.
    #[display("no answer in time")]
    TimedOut,
    /// The connection broke while the call was out.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The other daemon answered with an error.
    #[display("refused: {_0}")]
    Failed(#[error(not(source))] String),
}

impl LinkError {
    /// Whether the other daemon has certainly not begun the call.
    pub const fn is_not_begun(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::BackingOff)
    }
}
