use {
    crate::ownership::EngineState,
    jasmine_core::{ids::UpstreamId, placement::Instance},
    jasmine_wire::{
        convert::write_instances,
        jasmine_capnp::{controller, engine_view},
    },
};

/// Writes the state of owned engines and the instances that the polling gateway should release.
pub fn write_upstreams(
    mut results: controller::poll_upstreams_results::Builder<'_>,
    seq: u64,
    engines: &[(UpstreamId, EngineState)],
    recalls: &[Instance],
) {
    results.set_seq(seq);
    let mut views = results.reborrow().init_engines(engines.len() as u32);
    for (i, (upstream, state)) in (0..).zip(engines) {
        write_engine(views.reborrow().get(i), *upstream, state);
    }
    write_instances(results.init_recalls(recalls.len() as u32), recalls);
}

fn write_engine(
    mut builder: engine_view::Builder<'_>,
    upstream: UpstreamId,
    state: &EngineState,
) {
    builder.set_upstream(upstream.0);
    builder.set_owner_fence(state.fence.0);
    builder.set_running(state.report.running);
    builder.set_waiting(state.report.waiting);
    builder.set_free_slots(state.free_slots());
    builder.set_healthy(state.is_healthy());
    builder.set_boot(state.report.boot);
    let resident = builder.init_resident(state.resident.len() as u32);
    write_instances(resident, &state.resident);
}
