//! Converts store entries and engine reports to the scheduler's types, with ids in place of names.

use {
    super::NameInterner,
    jasmine_core::{
        ids::AdapterVersion,
        ingress::{EngineHoldings, EngineSpec, HeldAdapter, UpstreamEntry, UpstreamState},
        scheduler::{EngineLimits, EngineStatus, UpstreamStatus},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Converts the capacity limits of a service's engines.
pub(super) fn engine_limits(
    spec: &EngineSpec,
    names: &mut NameInterner,
) -> EngineLimits {
    EngineLimits {
        slots: spec.slots,
        kv_tokens: spec.kv_tokens,
        adapter_slots: spec.adapter_slots as usize,
        weights_mb: spec.weights_mb,
        loads_per_s: spec.loads_per_s,
        models: spec
            .models
            .iter()
            .map(|model| (names.model(&model.name), model.weights_mb, model.adapter_mb))
            .collect(),
    }
}

/// Converts an upstream's store entry.
pub(super) fn upstream_facts(
    entry: &UpstreamEntry,
    names: &mut NameInterner,
) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: xxh3_64(entry.id.as_bytes()),
        service: names.service(&entry.service),
        data_centre: Some(names.data_centre(&entry.data_centre)),
        build: names.build(&entry.build),
        slots: entry.slots,
        is_ready: entry.state == UpstreamState::Ready,
        cold: entry.warm_up_remaining,
        started_unix_ms: entry.started_unix_ms,
        engine: entry
            .holdings
            .as_ref()
            .map(|holdings| engine_facts(holdings, false, names)),
    }
}

/// Converts an engine's loaded models and adapters, from its store entry or its report.
pub(super) fn engine_facts(
    holdings: &EngineHoldings,
    is_busy: bool,
    names: &mut NameInterner,
) -> EngineStatus {
    let mut version = |model: &str, held: &HeldAdapter| {
        let adapter = names.adapter(model, &held.name);
        let version = held.version;
        let adapter = AdapterVersion { adapter, version };
        (names.model(model), adapter)
    };
    let adapters = holdings
        .models
        .iter()
        .flat_map(|model| model.adapters.iter().map(|held| (&model.name, held)))
        .map(|(model, held)| version(model, held))
        .collect();
    let coming = holdings
        .coming
        .iter()
        .map(|coming| version(&coming.model, &coming.adapter))
        .collect();
    let models = holdings.models.iter();
    EngineStatus {
        started_unix_ms: None,
        seq: holdings.seq,
        adapters,
        coming,
        models: models.map(|model| names.model(&model.name)).collect(),
        is_busy,
    }
}
