//! Conversions between Cap'n Proto messages and the router's types.

use {
    jasmine_core::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion, Fence, UpstreamId},
        ownership::AcquireOutcome as Outcome,
        placement::Instance,
        routing::EngineView,
    },
    jasmine_wire::jasmine_capnp::{
        self as wire, AcquireOutcome, controller::acquire_results, engine_view, instance,
    },
};

/// Decodes an adapter version as loaded on one engine, with the fence of the load.
pub(super) fn read_instance(reader: instance::Reader<'_>) -> Instance {
    Instance {
        upstream: UpstreamId(reader.get_upstream()),
        adapter: AdapterVersion {
            adapter: AdapterId(reader.get_adapter()),
            version: reader.get_version(),
        },
        fence: Fence(reader.get_fence()),
    }
}

/// Writes instances into a list initialised with the same length.
pub(super) fn write_instances(
    mut list: capnp::struct_list::Builder<'_, wire::instance::Owned>,
    instances: &[Instance],
) {
    for (i, instance) in (0..).zip(instances) {
        let mut item = list.reborrow().get(i);
        item.set_upstream(instance.upstream.0);
        item.set_adapter(instance.adapter.adapter.0);
        item.set_version(instance.adapter.version);
        item.set_fence(instance.fence.0);
    }
}

/// Reads an owner's view of an engine.
pub(super) fn read_engine(reader: engine_view::Reader<'_>) -> Result<EngineView, capnp::Error> {
    Ok(EngineView {
        upstream: UpstreamId(reader.get_upstream()),
        owner_fence: Fence(reader.get_owner_fence()),
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        free_slots: reader.get_free_slots(),
        healthy: reader.get_healthy(),
        boot: reader.get_boot(),
        resident: reader.get_resident()?.iter().map(read_instance).collect(),
    })
}

/// Reads an owner's response to a request for an adapter.
pub(super) fn read_acquired(reader: acquire_results::Reader<'_>) -> Result<Outcome, capnp::Error> {
    let retry = Millis(u64::from(reader.get_retry_ms()));
    Ok(match reader.get_outcome()? {
        AcquireOutcome::Granted => Outcome::Granted {
            instance: read_instance(reader.get_instance()?),
            owner: Fence(reader.get_owner_fence()),
        },
        AcquireOutcome::Loading => Outcome::Loading,
        AcquireOutcome::Full => Outcome::Full(retry),
        AcquireOutcome::LoadFailed => Outcome::LoadFailed(retry),
        AcquireOutcome::NotOwner => Outcome::NotOwner,
    })
}
