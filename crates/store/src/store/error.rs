/// Why a call to the key-value service failed.
///
/// After [`Self::Unreachable`] and [`Self::Refused`] a write has not been applied. After
/// [`Self::OutcomeUnknown`] the caller must read the key to find out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// Connecting failed, so nothing was sent.
    #[display("store unreachable: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The service rejected the call without executing it.
    #[display("store rejected the call with status {status}: {message}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The response body, truncated.
        message: String,
    },
    /// The call was sent but has no usable response, so it may or may not have taken effect.
    #[display("outcome of the store call unknown: {_0}")]
    OutcomeUnknown(#[error(not(source))] String),
}

impl StoreError {
    /// Whether a write that failed with this error has certainly not been applied.
    pub const fn is_not_applied(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown(_))
    }
}
