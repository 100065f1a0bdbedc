use {
    super::{
        CrashReport, PartSet,
        crash::Crash,
        crash_log::CrashLog,
        recent_parts::RecentParts,
        suspect::{MIN_CRASHES, Suspect},
        trials::Trials,
        verdict::Verdict,
    },
    crate::{
        clock::Millis,
        ids::{PartId, RequestId, UpstreamId},
    },
    std::collections::BTreeMap,
};

/// Most verdicts that are kept; the oldest go first.
const MAX_VERDICTS: usize = 100;
/// Crashes under a part that was never answered, from which requests with it go one at a time.
const MIN_TRIAL_CRASHES: usize = 2;
/// Most parts that are refused only together.
const MAX_SET_LEN: usize = 8;
/// Crashes from which a part is the cause, even if several others that prompts have beside it explain them as well.
const MAX_SHARED_CRASHES: usize = 7;
/// How long several suspects wait for answers that acquit all but one.
const ACQUITTAL_TIME: Millis = Millis(1_200);

/// A change of what is in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Prompts with all of these parts are refused from now on.
    Added {
        /// The parts.
        parts: PartSet,
        /// Number of crashes that accuse them.
        crashes: usize,
    },
    /// They aren't any more.
    Removed {
        /// The parts.
        parts: PartSet,
    },
}

/// Evidence about prompt parts, and the parts that are refused.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: CrashLog,
    /// Parts of prompts that were answered.
    sound: RecentParts,
    verdicts: Vec<Verdict>,
    changes: Vec<QuarantineChange>,
    /// When suspects that can't be told apart yet are quarantined together.
    due: Option<Millis>,
    /// The suspects of the last review; prompts with all of several wait, and those with a single one are on trial.
    undecided: PartSet,
    trials: Trials,
}

impl PartQuarantine {
    /// Records that an upstream crashed as it began to answer prompts with these shared parts, each with the time at
    /// which such a prompt was sent.
    pub fn note_crash(
        &mut self,
        upstream: UpstreamId,
        parts: &[(PartId, Millis)],
        at: Millis,
        now: Millis,
    ) {
        self.crashes.note(upstream, parts, at, now);
    }

    /// Records that an upstream sends something, so that it hasn't crashed just before.
    pub fn note_alive(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.crashes.note_alive(upstream, now);
    }

    /// Records that an answer to a prompt with these shared parts, which began at `begun_at`, went on; returns whether
    /// a suspect is among them, so that the rest has to be reviewed.
    pub fn note_sound(
        &mut self,
        parts: &[PartId],
        begun_at: Millis,
    ) -> bool {
        for &part in parts {
            self.sound.insert(part);
        }
        self.crashes.acquit(parts, begun_at);
        self.acquit(parts, begun_at);
        parts.iter().any(|part| self.undecided.contains(part))
    }

    /// When [`Self::review`] is due, if no evidence comes before.
    pub const fn due(&self) -> Option<Millis> {
        self.due
    }

    /// Whether a prompt with these shared parts is refused.
    pub fn refuses(
        &self,
        parts: &[PartId],
    ) -> bool {
        let mut verdicts = self.verdicts.iter();
        verdicts.any(|verdict| verdict.applies_to(parts))
    }

    /// Whether a prompt that is refused may be sent to see whether it still crashes its upstream.
    ///
    /// Only parts that were sound before are probed: what has changed may be the upstreams.
    pub fn take_probe(
        &mut self,
        parts: &[PartId],
        now: Millis,
    ) -> bool {
        let applying = self.verdicts.iter_mut();
        let mut applying: Vec<&mut Verdict> = applying
            .filter(|verdict| verdict.applies_to(parts))
            .collect();
        match &mut applying[..] {
            [verdict] => {
                let was_sound = verdict.parts.iter().all(|&part| self.sound.contains(part));
                was_sound && verdict.take_probe(now)
            }
            _ => false,
        }
    }

    /// Whether a prompt with these shared parts has to wait for what others show.
    pub fn holds(
        &self,
        parts: &[PartId],
        now: Millis,
    ) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let mut undecided = self.undecided.iter();
        let has_undecided = self.undecided.len() > 1 && undecided.all(|part| parts.contains(part));
        has_undecided || parts.iter().any(|&part| self.is_trial_pending(part, now))
    }

    /// Records that a request with these shared parts is sent.
    pub fn note_sent(
        &mut self,
        parts: &[PartId],
        request: RequestId,
        now: Millis,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        for &part in parts {
            if self.is_on_trial(part) {
                self.trials.begin(part, request, now);
            }
        }
    }

    /// Records that a request has ended.
    pub fn note_ended(
        &mut self,
        request: RequestId,
    ) {
        self.trials.end(request);
    }

    /// What is refused.
    pub fn verdicts(&self) -> impl Iterator<Item = &PartSet> {
        self.verdicts.iter().map(|verdict| &verdict.parts)
    }

    /// Adds parts that another scheduler has quarantined.
    pub fn add(
        &mut self,
        parts: PartSet,
        now: Millis,
    ) {
        self.insert(parts, 0, now);
    }

    /// Removes parts that an operator or another scheduler has taken out of quarantine.
    pub fn remove(
        &mut self,
        parts: &PartSet,
        now: Millis,
    ) {
        let count = self.verdicts.len();
        self.verdicts.retain(|verdict| verdict.parts != *parts);
        if self.verdicts.len() < count {
            let all: Vec<PartId> = parts.iter().copied().collect();
            self.crashes.acquit(&all, now);
            let parts = parts.clone();
            self.changes.push(QuarantineChange::Removed { parts });
        }
    }

    /// The crashes that are evidence, for a new scheduler.
    pub fn reports(
        &self,
        now: Millis,
    ) -> Vec<CrashReport> {
        self.crashes.reports(now)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantines the parts that the crashes point to.
    ///
    /// Other parts of the same prompts are accused as often. The only suspect that no answer has shown to be sound is
    /// quarantined at once; otherwise the suspects wait for answers that acquit some of them. Several that are left are
    /// refused where a prompt has them all. A single one, which other prompts may share, is put on trial first.
    ///
    /// Returns whether there are any.
    pub fn review(
        &mut self,
        now: Millis,
    ) -> bool {
        let known_changes = self.changes.len();
        self.crashes.forget_old(now);
        self.due = self.crashes.next_settled(now);
        self.undecided.clear();
        if let Some((part, crashes)) = self.cause_of_sets(now) {
            self.insert(PartSet::from([part]), crashes, now);
        }
        loop {
            let unexplained: Vec<&Crash> = self
                .crashes
                .iter()
                .filter(|crash| crash.is_settled(now) && !self.is_explained(crash))
                .collect();
            let suspects = Suspect::find(&unexplained, |part| self.sound.contains(part));
            let Some(since) = suspects.iter().map(|one| one.qualified_at).min() else {
                return self.changes.len() > known_changes;
            };
            let mut unproven = suspects.iter().filter(|one| !one.was_sound);
            if let (Some(only), None) = (unproven.next(), unproven.next()) {
                self.insert(PartSet::from([only.part]), only.crashes.len(), now);
                continue;
            }
            let group = indistinct(&suspects);
            let parts: PartSet = group.iter().map(|one| one.part).collect();
            let due = since + ACQUITTAL_TIME;
            let is_decided = match &group[..] {
                [single] => single.is_confirmed,
                _ => now >= due,
            };
            if !is_decided {
                let due = Some(due).filter(|&due| now < due);
                self.due = self.due.into_iter().chain(due).min();
                self.undecided = parts;
                return self.changes.len() > known_changes;
            }
            let crashes = group.iter().map(|one| one.crashes.len()).max();
            self.insert(parts, crashes.unwrap_or_default(), now);
        }
    }

    /// Whether the last request with a part on trial hasn't shown yet what it does.
    fn is_trial_pending(
        &self,
        part: PartId,
        now: Millis,
    ) -> bool {
        self.trials.is_pending(part, now)
            || self.is_on_trial(part) && self.crashes.is_unsettled(part, now)
    }

    /// Whether requests with a part go one at a time.
    fn is_on_trial(
        &self,
        part: PartId,
    ) -> bool {
        let is_suspected = self.crashes.accusations(part) >= MIN_TRIAL_CRASHES;
        is_suspected && !self.sound.contains(part) || self.undecided.contains(&part)
    }

    fn is_explained(
        &self,
        crash: &Crash,
    ) -> bool {
        self.verdicts.iter().any(|verdict| verdict.explains(crash))
    }

    /// A part that crashes upstreams beside each of several others and is only refused together with them, and how many
    /// crashes accuse it that no verdict explains without it.
    ///
    /// Of the crashes under one set of parts as many count as are enough for its verdict, as the others of the set may
    /// have caused any number.
    fn cause_of_sets(
        &self,
        now: Millis,
    ) -> Option<(PartId, usize)> {
        let sets = self.verdicts.iter().filter(|one| one.parts.len() > 1);
        let parts = sets.flat_map(|one| one.parts.iter().copied());
        let is_accused = |part: &PartId| self.crashes.accusations(*part) >= MAX_SHARED_CRASHES;
        let candidates: PartSet = parts.filter(is_accused).collect();
        if candidates.is_empty() {
            return None;
        }
        let mut counts: BTreeMap<PartId, BTreeMap<Option<usize>, usize>> = BTreeMap::new();
        for crash in self.crashes.iter().filter(|crash| crash.is_settled(now)) {
            let verdicts = self.verdicts.iter().enumerate();
            let explaining: Vec<_> = verdicts.filter(|(_, one)| one.explains(crash)).collect();
            let set = explaining.first().map(|&(index, _)| index);
            let mut sets = explaining.iter().map(|(_, one)| &one.parts);
            let parts = sets.next().unwrap_or(&candidates);
            let others: Vec<_> = sets.collect();
            for &part in parts.iter().filter(|part| crash.accused.contains_key(part)) {
                if others.iter().all(|other| other.contains(&part)) {
                    *counts.entry(part).or_default().entry(set).or_default() += 1;
                }
            }
        }
        let totals = counts.into_iter().map(|(part, counts)| {
            let counts = counts.into_iter().map(|(set, count)| match set {
                Some(_) => count.min(MIN_CRASHES),
                None => count,
            });
            (part, counts.sum::<usize>())
        });
        let mut causes = totals.filter(|&(_, count)| count >= MAX_SHARED_CRASHES);
        causes.find(|&(part, _)| !self.refuses(&[part]))
    }

    fn insert(
        &mut self,
        parts: PartSet,
        crashes: usize,
        now: Millis,
    ) {
        let is_known = self.verdicts.iter().any(|known| known.parts == parts);
        if parts.is_empty() || is_known {
            return;
        }
        if self.verdicts.len() >= MAX_VERDICTS {
            let oldest = self.verdicts[0].parts.clone();
            self.remove(&oldest, now);
        }
        self.verdicts.push(Verdict::new(parts.clone(), now));
        self.changes
            .push(QuarantineChange::Added { parts, crashes });
    }

    /// Takes parts out of the verdicts before `begun_at`, as an answer that began then went on.
    fn acquit(
        &mut self,
        parts: &[PartId],
        begun_at: Millis,
    ) {
        let has_any = |verdict: &Verdict| parts.iter().any(|part| verdict.parts.contains(part));
        let is_acquitted = |verdict: &Verdict| verdict.since <= begun_at && has_any(verdict);
        if !self.verdicts.iter().any(is_acquitted) {
            return;
        }
        for verdict in std::mem::take(&mut self.verdicts) {
            if !is_acquitted(&verdict) {
                self.verdicts.push(verdict);
                continue;
            }
            let mut rest = verdict.parts.clone();
            rest.retain(|part| !parts.contains(part));
            let parts = verdict.parts;
            self.changes.push(QuarantineChange::Removed { parts });
            self.insert(rest, 0, verdict.since);
        }
    }
}

/// The suspects that the evidence doesn't tell apart from the most accused one.
fn indistinct(suspects: &[Suspect]) -> Vec<&Suspect> {
    let has_unproven = suspects.iter().any(|one| !one.was_sound);
    let open = || {
        suspects
            .iter()
            .filter(|one| !has_unproven || !one.was_sound)
    };
    let Some(top) = open().max_by_key(|one| one.crashes.len()) else {
        return Vec::new();
    };
    let mut common = top.clone();
    let mut group = vec![top];
    for other in open().filter(|one| one.crashes.len() + 1 >= top.crashes.len()) {
        let has_room = group.len() < MAX_SET_LEN && other.part != top.part;
        if has_room && other.shares_crashes(&common) {
            common.crashes.retain(|at| other.crashes.contains(at));
            group.push(other);
        }
    }
    group
}
