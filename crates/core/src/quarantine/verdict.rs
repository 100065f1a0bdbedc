use {
    super::{CrashCandidates, crash::Crash},
    crate::{clock::Millis, ids::PartId},
    std::collections::BTreeSet,
};

/// Parts that are refused where a prompt has them all.
pub type PartSet = BTreeSet<PartId>;

/// The text form of several parts.
pub fn join_parts<'a, I>(
    parts: I,
    separator: &str,
) -> String
where
    I: IntoIterator<Item = &'a PartId>,
{
    let texts: Vec<String> = parts.into_iter().map(PartId::to_string).collect();
    texts.join(separator)
}

/// Parts in quarantine: one, or several that crashes haven't told apart yet.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    pub parts: PartSet,
    pub since: Millis,
    /// When the next probe is allowed.
    probe_at: Millis,
    probe_interval: Millis,
    /// When the next probe is allowed of what may only be common to several crashing parts.
    early_probe_at: Millis,
    early_probe_interval: Millis,
}

/// Time until the first probe of a part that was sound before; doubled with each further one.
const PROBE_INTERVAL: Millis = Millis(60_000);
/// Time until the first probe of a part that may only be common to several crashing ones; doubled with each further one.
const EARLY_PROBE_INTERVAL: Millis = Millis(1_200);
const MAX_PROBE_INTERVAL: Millis = Millis(3_600_000);

impl Verdict {
    pub(super) fn new(
        parts: PartSet,
        since: Millis,
    ) -> Self {
        Self {
            parts,
            since,
            probe_at: since + PROBE_INTERVAL,
            probe_interval: PROBE_INTERVAL,
            early_probe_at: since + EARLY_PROBE_INTERVAL,
            early_probe_interval: EARLY_PROBE_INTERVAL,
        }
    }

    /// Whether a request may show now that the part is sound again; the next one may so much later.
    pub(super) fn take_probe(
        &mut self,
        now: Millis,
    ) -> bool {
        if now < self.probe_at {
            return false;
        }
        self.probe_interval = Millis(self.probe_interval.0 * 2).min(MAX_PROBE_INTERVAL);
        self.probe_at = now + self.probe_interval;
        true
    }

    /// Whether the same is due of a part that may only be common to several crashing ones.
    pub(super) fn is_early_probe_due(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.early_probe_at
    }

    /// Records that such a part is probed now; the next probe may come so much later.
    pub(super) fn delay_early_probe(
        &mut self,
        now: Millis,
    ) {
        let interval = Millis(self.early_probe_interval.0 * 2);
        self.early_probe_interval = interval.min(MAX_PROBE_INTERVAL);
        self.early_probe_at = now + self.early_probe_interval;
    }

    /// Whether a crash accuses all of the parts in one prompt.
    pub(super) fn explains(
        &self,
        crash: &Crash,
    ) -> bool {
        crash.accuses_together(&self.parts)
    }

    /// Whether it is about a request as a whole.
    pub(super) fn is_of_request(&self) -> bool {
        self.parts.iter().any(|part| part.is_request())
    }

    /// Whether a request is refused.
    pub(super) fn applies_to(
        &self,
        candidates: CrashCandidates<'_>,
    ) -> bool {
        self.parts.iter().all(|&part| candidates.contains(part))
    }
}
