/// Why a call to another daemon failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LinkError {
    /// Connecting failed, so the call was not sent.
    #[display("unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// Connecting failed recently and the backoff has not elapsed, so the call was not sent.
    #[display("unreachable: waiting before the next connection attempt")]
    BackingOff,
    /// The call or a heartbeat was sent and its response did not arrive in time.
    #[display("timed out waiting for a response")]
    TimedOut,
    /// The connection was lost during the call.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The other daemon returned an error.
    #[display("call failed: {_0}")]
    Failed(#[error(not(source))] String),
}

impl LinkError {
    /// Whether the other daemon has certainly not received the call.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::BackingOff)
    }
}
