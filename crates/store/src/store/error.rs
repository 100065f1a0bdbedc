/// Why a call to the key-value service has no usable answer.
///
/// For a write the difference decides what the caller may say: after [`Self::Unreachable`] and
/// [`Self::Refused`] nothing was written, after [`Self::OutcomeUnknown`] only reading back tells.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// No connection came about, so nothing was sent.
    #[display("store not reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The service answered that it did not do it.
    #[display("store refused: status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What the service said, cut to a short length.
        message: String,
    },
    /// The call went out and no clear answer came back: it may or may not have taken effect.
    #[display("store's answer is missing: {_0}")]
    OutcomeUnknown(#[error(not(source))] String),
}

impl StoreError {
    /// Whether a write that ended so certainly did not take effect.
    pub const fn is_not_done(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown(_))
    }
}
