/// The kinds of calls to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum StoreCallKind {
    /// Reads a range of keys.
    #[display("range")]
    Range,
    /// Executes a transaction.
    #[display("txn")]
    Txn,
    /// Grants a lease.
    #[display("grant")]
    Grant,
    /// Renews a lease.
    #[display("keep_alive")]
    KeepAlive,
    /// Revokes a lease.
    #[display("revoke")]
    Revoke,
    /// Opens a watch.
    #[display("watch")]
    Watch,
}

impl StoreCallKind {
    /// All variants; store calls are counted and exported as metrics for each.
    pub const ALL: [Self; 6] = [
        Self::Range,
        Self::Txn,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// The URL path of the call.
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
