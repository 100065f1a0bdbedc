/// An adapter version reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeldAdapter {
    /// Name of the adapter, without base model and version.
    pub name: String,
    /// Version that the engine loads or has loaded.
    pub version: u32,
}

/// A base model that an engine holds, with the adapters loaded on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the base model; adapter names are looked up under it.
    pub name: String,
    /// The adapters that are ready for requests.
    pub adapters: Vec<HeldAdapter>,
}

/// An adapter that an engine is loading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComingAdapter {
    /// Name of its base model.
    pub model: String,
    /// Name and version of the adapter being loaded.
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
