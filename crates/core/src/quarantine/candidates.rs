use crate::ids::PartId;

/// What of a request may crash the upstreams that get it.
#[derive(Clone, Copy, Debug)]
pub struct CrashCandidates<'a> {
    /// What it may share with other requests: parts of its prompt, and the adapter.
    pub shared: &'a [PartId],
    /// The request as a whole.
    pub request: PartId,
}

impl CrashCandidates<'_> {
    pub(super) fn iter(self) -> impl Iterator<Item = PartId> {
        self.shared.iter().copied().chain([self.request])
    }

    pub(super) fn contains(
        self,
        part: PartId,
    ) -> bool {
        part == self.request || self.shared.contains(&part)
    }
}
