use crate::{ids::StreamId, placement::rendezvous_hash};

/// VMs that are told the origin of a stream, besides the one that serves it.
pub const HOLDERS: usize = 3;
/// VMs that are asked for it: more, as VMs may have come and gone since.
pub const ASKED_VMS: usize = 6;

/// The VMs that keep the origin of a stream, best first, out of `vms`: a hash of each VM's name, the same on all VMs.
pub fn holders_of(
    stream: StreamId,
    vms: &[u64],
    count: usize,
) -> Vec<u64> {
    let mut ranked = vms.to_vec();
    ranked.sort_by_key(|&vm| std::cmp::Reverse(rendezvous_hash(stream.0, vm)));
    ranked.truncate(count);
    ranked
}
