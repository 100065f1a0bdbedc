use {super::EngineHoldings, crate::clock::Millis, std::net::SocketAddr};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new work.
    Ready,
    /// It is draining and gets no new work.
    Leaving {
        /// Time until it stops regardless of running requests; `None` if it waits for them.
        remaining: Option<Millis>,
    },
}

/// The registration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// The id under which it registered.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Its listen address; may be reused by another upstream after this one has stopped.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software. Builds have no order; a stream is resumed only by the build that began it.
    pub build: String,
    /// Maximum number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Remaining time of its warm-up after the start, during which it is slow.
    pub warm_up_remaining: Millis,
    /// When it started, in Unix milliseconds. A later value under the same id means that it has restarted
    /// and lost its state.
    pub started_unix_ms: Option<u64>,
    /// Its models and adapters, if it is an engine.
    pub holdings: Option<EngineHoldings>,
}

impl UpstreamEntry {
    /// Whether it was slow after its start when it wrote the entry.
    pub const fn is_warming_up(&self) -> bool {
        self.warm_up_remaining.0 > 0
    }
}
