use crate::{
    ids::{DataCentreId, UpstreamId, VmId},
    placement::rendezvous_score,
};

/// A controller that can own engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The VM that the controller runs on.
    pub vm: VmId,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
}

/// The controller that should own an engine; `None` if no controller is live.
///
/// Controllers in the engine's data centre are preferred, so that its orders and reports stay local
/// and the loss of a link between data centres does not change owners.
pub fn assign(
    upstream: UpstreamId,
    data_centre: DataCentreId,
    live: &[Candidate],
) -> Option<VmId> {
    let has_local = live
        .iter()
        .any(|candidate| candidate.data_centre == data_centre);
    live.iter()
        .filter(|candidate| !has_local || candidate.data_centre == data_centre)
        .max_by(|a, b| {
            score(upstream, a.vm)
                .total_cmp(&score(upstream, b.vm))
                .then(b.vm.cmp(&a.vm))
        })
        .map(|candidate| candidate.vm)
}

fn score(
    upstream: UpstreamId,
    vm: VmId,
) -> f64 {
    rendezvous_score(u64::from(upstream.0), u64::from(vm.0), 1)
}
