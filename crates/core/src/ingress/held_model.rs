/// An adapter as an engine says that it has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldAdapter {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u32,
}

/// A base model that an engine holds, with the adapters loaded on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Its name.
    pub name: String,
    /// The adapters that are ready for requests.
    pub adapters: Vec<HeldAdapter>,
}

/// An adapter on its way to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComingAdapter {
    /// The base model that it belongs to.
    pub model: String,
    /// The adapter.
    pub adapter: HeldAdapter,
}

/// What an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineHoldings {
    /// How many orders it has accepted since its start. Only the engine's own report tells it.
    pub seq: Option<u64>,
    /// The models.
    pub models: Vec<HeldModel>,
    /// Adapters on their way, which take a place each. Only the engine's own report tells them.
    pub coming: Vec<ComingAdapter>,
}
