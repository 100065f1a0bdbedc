use {
    crate::{clock::Millis, ids::PartId},
    std::collections::BTreeSet,
};

/// Parts that are refused where a prompt has them all.
pub type PartSet = BTreeSet<PartId>;

/// Parts in quarantine: one, or several that crashes haven't told apart yet.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    pub parts: PartSet,
    pub since: Millis,
}

impl Verdict {
    /// Whether a prompt with these parts is refused.
    pub(super) fn applies_to(
        &self,
        parts: &[PartId],
    ) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}
