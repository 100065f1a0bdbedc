/// An adapter version reported by an engine.
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

/// An adapter that an engine is loading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComingAdapter {
    /// Name of its base model.
    pub model: String,
    /// The adapter.
    pub adapter: HeldAdapter,
}

/// The models and adapters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineHoldings {
    /// Number of orders it has accepted since its start; set only in the engine's own report.
    pub seq: Option<u64>,
    /// Base models it holds.
    pub models: Vec<HeldModel>,
    /// Adapters being loaded, each of which uses a slot; set only in the engine's own report.
    pub coming: Vec<ComingAdapter>,
}
