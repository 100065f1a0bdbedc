/// A part of the daemon's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPart {
    /// Decisions of this VM's scheduler.
    Decisions,
    /// Messages of other VMs, read, executed and answered, but for the decisions that they ask for.
    Messages,
    /// The store's changes, read from it or from another VM.
    Feed,
    /// Evidence of crashes, exchanged through the store.
    Evidence,
    /// Orders to engines and their reports.
    Orders,
    /// Requests of callers and of other VMs' callers, and their exchanges with upstreams.
    Callers,
}

impl WorkPart {
    /// All variants in declaration order.
    pub const ALL: [Self; 6] = [
        Self::Decisions,
        Self::Messages,
        Self::Feed,
        Self::Evidence,
        Self::Orders,
        Self::Callers,
    ];

    /// Name of the part in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Decisions => "decisions",
            Self::Messages => "messages",
            Self::Feed => "feed",
            Self::Evidence => "evidence",
            Self::Orders => "orders",
            Self::Callers => "callers",
        }
    }
}
