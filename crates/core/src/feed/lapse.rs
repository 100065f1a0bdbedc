use crate::clock::Millis;

/// Shortest outage of the store in which the entry of a running upstream can lapse.
///
/// An entry lapses after three heartbeats of silence, and the last one came at most one heartbeat before the outage.
const MIN_LAPSE_OUTAGE: Millis = Millis(2_000);

/// Whether entries of running upstreams may have lapsed while the store answered none of the VMs that this one knows of
/// for `unanswered`.
///
/// An outage of one VM's own calls is none of the store's: upstreams registered all the while.
pub fn may_have_lapsed(unanswered: Millis) -> bool {
    unanswered >= MIN_LAPSE_OUTAGE
}
