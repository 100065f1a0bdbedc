/// The calls that the platform counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum CallKind {
    /// A read of a range.
    #[display("range")]
    Range,
    /// A transaction.
    #[display("txn")]
    Txn,
    /// A lease granted.
    #[display("grant")]
    Grant,
    /// A lease renewed.
    #[display("keep_alive")]
    KeepAlive,
    /// A lease ended.
    #[display("revoke")]
    Revoke,
    /// A watch opened.
    #[display("watch")]
    Watch,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Range,
        Self::Txn,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// The path of the call.
    pub(super) const fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Grant => "/v3/lease/grant",
            Self::KeepAlive => "/v3/lease/keepalive",
            Self::Revoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }
}
