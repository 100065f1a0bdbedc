use {
    super::{
        crash::Crash,
        suspect::{MIN_CRASHES, separate_ends},
    },
    crate::{clock::Millis, ids::PartId},
};

/// Ends of upstreams under a request from which it goes alone.
pub(super) const MIN_SUSPECT_ENDS: usize = 2;

/// A request under which so many upstreams ended that it isn't sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestSuspect {
    pub request: PartId,
    /// Upstreams that ended under it, once for those that ended together.
    pub ends: usize,
}

impl RequestSuspect {
    /// Counts the settled ends under a request; `None` if they aren't enough.
    ///
    /// Others that shared these upstreams don't excuse it: whichever request ends them, this one costs its caller the
    /// same, and goes alone from the second end on.
    pub(super) fn find<'a, I>(
        request: PartId,
        crashes: I,
        now: Millis,
    ) -> Option<Self>
    where
        I: Iterator<Item = &'a Crash>,
    {
        let mut accusing: Vec<&Crash> = crashes
            .filter(|crash| crash.is_settled(now) && crash.accuses(request))
            .collect();
        accusing.sort_by_key(|crash| crash.at);
        let ends = separate_ends(request, &accusing).len();
        (ends >= MIN_CRASHES).then_some(Self { request, ends })
    }
}
