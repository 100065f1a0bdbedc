use crate::{ids::StreamId, placement::rendezvous_hash};

/// Number of VMs that keep a stream's origin, besides the one that serves it.
pub const ORIGIN_REPLICAS: usize = 3;
/// Number of VMs asked for it: more than keep it, as VMs may have joined and left since.
pub const LOOKUP_VMS: usize = 6;

/// The VMs that keep a stream's origin, by rendezvous hashing; `vms` are hashes of their names.
pub fn replicas_of(
    stream: StreamId,
    vms: &[u64],
    count: usize,
) -> Vec<u64> {
    let mut ranked = vms.to_vec();
    ranked.sort_by_cached_key(|&vm| std::cmp::Reverse(rendezvous_hash(stream.0, vm)));
    ranked.truncate(count);
    ranked
}
