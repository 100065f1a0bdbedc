/// Whose requests a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Peer {
    /// A caller.
    Caller,
    /// Another VM, for its callers.
    Vm,
}

impl Peer {
    /// Its name in logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Vm => "vm",
        }
    }
}
