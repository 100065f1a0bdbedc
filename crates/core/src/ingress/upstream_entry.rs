use {super::EngineHoldings, crate::clock::Millis, std::net::SocketAddr};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is about to go and gets no new work.
    Leaving {
        /// When it is gone, whatever runs on it; none where it waits for that.
        remaining: Option<Millis>,
    },
}

/// An upstream as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// The id of this run of it.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens. After its end the address may be another upstream's.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    pub cold: Millis,
    /// When it started, in milliseconds of the Unix clock. A later one under the same id is a restart,
    /// after which it holds and knows nothing of before.
    pub started_unix_ms: Option<u64>,
    /// What it holds, if it is an engine.
    pub holdings: Option<EngineHoldings>,
}
