use {
    super::{
        CrashCandidates, CrashReport, PartSet, QuarantineEvent, VerdictSource,
        crash::Crash,
        crash_log::CrashLog,
        recent_parts::RecentParts,
        request_suspect::{MIN_SUSPECT_ENDS, RequestSuspect},
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

/// Most verdicts about parts, and most about requests, that are kept; the oldest go first.
const MAX_VERDICTS: usize = 100;
/// How long a request is refused.
const REQUEST_RETENTION: Millis = Millis(600_000);
/// Crashes under a part that was never answered, from which requests with it go one at a time.
const MIN_TRIAL_CRASHES: usize = 2;
/// Most parts that are refused only together.
const MAX_SET_LEN: usize = 8;
/// Crashes from which a part is the cause, even if several others that prompts have beside it explain them as well.
const MAX_SHARED_CRASHES: usize = 7;
/// How long several suspects wait for answers that acquit all but one.
const ACQUITTAL_TIME: Millis = Millis(1_200);

/// Evidence about prompt parts, and the parts that are refused.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: CrashLog,
    /// Parts of prompts that were answered, and when the latest answer began.
    sound: RecentParts,
    verdicts: Vec<Verdict>,
    events: Vec<QuarantineEvent>,
    /// When suspects that can't be told apart yet are quarantined together.
    due: Option<Millis>,
    /// The suspects of the last review; prompts with all of several wait, and those with a single one are on trial.
    undecided: PartSet,
    trials: Trials,
}

impl PartQuarantine {
    /// Records that an upstream crashed as it began to answer prompts with these shared parts, or while it had these
    /// requests, each with the time at which such a prompt or request was sent.
    pub fn note_crash(
        &mut self,
        upstream: UpstreamId,
        parts: &[(PartId, Millis)],
        at: Millis,
        now: Millis,
    ) {
        self.crashes.note(upstream, parts, at, now);
    }

    /// Records a crash that another VM has told.
    pub fn note_report(
        &mut self,
        report: &CrashReport,
        now: Millis,
    ) {
        self.crashes.note_report(report, now);
    }

    /// Records that an upstream sends something, so that it hasn't crashed just before.
    pub fn note_alive(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.crashes.note_alive(upstream, now);
    }

    /// Records that an upstream is gone or has started anew.
    pub fn note_gone(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.crashes.note_gone(upstream, now);
    }

    /// Records that a request was answered as a whole, with an answer that began at `begun_at`.
    pub fn note_answered(
        &mut self,
        request: PartId,
        begun_at: Millis,
    ) {
        self.crashes.acquit(&[request], begun_at);
        self.acquit(&[request], begun_at);
    }

    /// Records that an answer to a prompt with these shared parts, which began at `begun_at`, went on; returns whether
    /// a suspect is among them, so that the rest has to be reviewed.
    pub fn note_sound(
        &mut self,
        parts: &[PartId],
        begun_at: Millis,
    ) -> bool {
        for &part in parts {
            self.sound.insert(part, begun_at);
        }
        self.crashes.acquit(parts, begun_at);
        self.acquit(parts, begun_at);
        parts.iter().any(|part| self.undecided.contains(part))
    }

    /// When [`Self::review`] is due, if no evidence comes before.
    pub const fn due(&self) -> Option<Millis> {
        self.due
    }

    /// Whether a request is refused.
    pub fn refuses(
        &self,
        candidates: CrashCandidates<'_>,
    ) -> bool {
        let mut verdicts = self.verdicts.iter();
        verdicts.any(|verdict| verdict.applies_to(candidates))
    }

    /// Whether a request is refused, as upstreams ended under it.
    pub fn refuses_request(
        &self,
        request: PartId,
    ) -> bool {
        let mut verdicts = self.verdicts.iter();
        verdicts.any(|verdict| verdict.parts.contains(&request))
    }

    /// Whether an upstream ended under a request.
    pub fn is_accused(
        &self,
        request: PartId,
    ) -> bool {
        self.crashes.accusations(request) > 0
    }

    /// Whether several upstreams ended under a request.
    pub fn is_suspected(
        &self,
        request: PartId,
    ) -> bool {
        self.crashes.accusations(request) >= MIN_SUSPECT_ENDS
    }

    /// The upstreams that a request may not be sent to now: a suspected one goes to none that has another one.
    pub fn avoided_upstreams(
        &self,
        request: PartId,
    ) -> Vec<UpstreamId> {
        if self.crashes.is_empty() || !self.is_suspected(request) {
            return Vec::new();
        }
        self.trials.exclusive_upstreams()
    }

    /// Whether a request that is refused may be sent to see whether its prompt still crashes its upstream.
    ///
    /// Only parts that were sound before are probed: what has changed may be the upstreams.
    pub fn take_probe(
        &mut self,
        candidates: CrashCandidates<'_>,
        now: Millis,
    ) -> bool {
        let applying = self.verdicts.iter_mut();
        let mut applying: Vec<&mut Verdict> = applying
            .filter(|verdict| verdict.applies_to(candidates))
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
    pub fn holds_parts(
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

    /// Whether a request has to wait for what its earlier attempts show.
    pub fn holds_request(
        &self,
        request: PartId,
        now: Millis,
    ) -> bool {
        !self.crashes.is_empty() && self.is_trial_pending(request, now)
    }

    /// Records that a request is sent to an upstream.
    pub fn note_sent(
        &mut self,
        candidates: CrashCandidates<'_>,
        request: RequestId,
        upstream: UpstreamId,
        now: Millis,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        let accused = candidates.shared.iter().copied();
        let accused = accused.filter(|&part| self.is_on_trial(part));
        let accused: Vec<(PartId, usize)> = accused
            .map(|part| (part, self.crashes.accusations(part)))
            .collect();
        if !accused.is_empty() {
            self.events.push(QuarantineEvent::Sent {
                request: candidates.request,
                upstream,
                accused,
            });
        }
        for part in candidates.iter() {
            if !self.is_on_trial(part) {
                continue;
            }
            let is_exclusive = part.is_request() && self.is_suspected(part);
            self.trials
                .begin(part, request, upstream, is_exclusive, now);
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
        source: VerdictSource,
        now: Millis,
    ) {
        self.insert(parts, source, now);
    }

    /// Removes parts that an operator or another scheduler has taken out of quarantine.
    pub fn remove(
        &mut self,
        parts: &PartSet,
        source: VerdictSource,
        now: Millis,
    ) {
        let count = self.verdicts.len();
        self.verdicts.retain(|verdict| verdict.parts != *parts);
        if self.verdicts.len() < count {
            let all: Vec<PartId> = parts.iter().copied().collect();
            self.crashes.acquit(&all, now);
            let parts = parts.clone();
            self.events.push(QuarantineEvent::Removed { parts, source });
        }
    }

    /// The crashes that are evidence, for a new scheduler.
    pub fn reports(
        &self,
        now: Millis,
    ) -> Vec<CrashReport> {
        self.crashes.reports(now)
    }

    /// Takes what has happened since the last call.
    pub fn take_events(
        &mut self,
        now: Millis,
    ) -> Vec<QuarantineEvent> {
        let ended = self.crashes.take_ended(now).into_iter();
        let dropped = ended.map(|(crash, end)| QuarantineEvent::Dropped { crash, end });
        let events = std::mem::take(&mut self.events).into_iter();
        events.chain(dropped).collect()
    }

    /// Quarantines the parts that the crashes point to.
    ///
    /// Other parts of the same prompts are accused as often. The only suspect that no answer has shown to be sound is
    /// quarantined at once if nothing else explains one of its crashes; otherwise the suspects wait for answers that acquit some of them. Several that are left are
    /// refused where a prompt has them all. A single one, which other prompts may share, is put on trial first, and for
    /// longer where it may be what several crashing parts share.
    ///
    /// Returns whether there are any.
    pub fn review(
        &mut self,
        now: Millis,
    ) -> bool {
        let known_events = self.events.len();
        self.crashes.forget_old(now);
        self.undecided.clear();
        self.review_requests(now);
        let next_settled = self.crashes.next_settled(now);
        self.due = next_settled.into_iter().chain(self.next_expiry()).min();
        if let Some(part) = self.cause_of_sets(now) {
            self.insert(PartSet::from([part]), VerdictSource::Evidence, now);
        }
        let refused_requests: Vec<PartId> = self
            .request_verdicts()
            .flat_map(|verdict| verdict.parts.iter().copied())
            .collect();
        loop {
            let unexplained: Vec<&Crash> = self
                .crashes
                .iter()
                .filter(|crash| crash.is_settled(now) && !self.is_explained(crash))
                .collect();
            let sound_at = |part| self.sound.latest(part);
            let suspects = Suspect::find(&unexplained, &refused_requests, sound_at);
            let Some(since) = suspects.iter().map(|one| one.qualified_at).min() else {
                return self.events.len() > known_events;
            };
            let has_alternative = |suspect: &Suspect| {
                let is_certain = suspect.crashes.len() >= MAX_SHARED_CRASHES;
                !is_certain && suspect.has_alternative(&unexplained, sound_at)
            };
            let mut unproven = suspects.iter().filter(|one| !one.was_sound());
            if let (Some(only), None) = (unproven.next(), unproven.next())
                && !has_alternative(only)
                && only.is_alone(&unexplained, sound_at)
            {
                self.insert(PartSet::from([only.part]), VerdictSource::Evidence, now);
                continue;
            }
            let group = indistinct(&suspects, has_alternative);
            let parts: PartSet = group.iter().map(|one| one.part).collect();
            let due = since + ACQUITTAL_TIME;
            let is_decided = match &group[..] {
                [single] => single.is_confirmed && !has_alternative(single),
                _ => now >= due,
            };
            if !is_decided {
                let due = Some(due).filter(|&due| now < due);
                self.due = self.due.into_iter().chain(due).min();
                self.undecided = parts;
                return self.events.len() > known_events;
            }
            self.insert(parts, VerdictSource::Evidence, now);
        }
    }

    /// Refuses requests under which enough upstreams ended, and those no more that were refused for long enough.
    fn review_requests(
        &mut self,
        now: Millis,
    ) {
        let is_over = |verdict: &&Verdict| now.since(verdict.since) >= REQUEST_RETENTION;
        let over = self.request_verdicts().filter(is_over);
        let over: Vec<PartSet> = over.map(|verdict| verdict.parts.clone()).collect();
        for parts in over {
            self.remove(&parts, VerdictSource::Age, now);
        }
        let accused = self.crashes.accused_requests(MIN_CRASHES);
        let suspects: Vec<RequestSuspect> = accused
            .filter_map(|request| RequestSuspect::find(request, self.crashes.iter(), now))
            .collect();
        for suspect in suspects {
            self.insert(
                PartSet::from([suspect.request]),
                VerdictSource::Evidence,
                now,
            );
        }
    }

    /// Whether the last request with a part on trial hasn't shown yet what it does.
    fn is_trial_pending(
        &self,
        part: PartId,
        now: Millis,
    ) -> bool {
        let settles = if part.is_request() {
            self.is_suspected(part)
        } else {
            self.is_on_trial(part)
        };
        self.trials.is_pending(part, now) || settles && self.crashes.is_unsettled(part, now)
    }

    /// Whether requests with a part, or attempts of a request, go one at a time.
    fn is_on_trial(
        &self,
        part: PartId,
    ) -> bool {
        if part.is_request() {
            return self.is_accused(part);
        }
        let is_suspected = self.crashes.accusations(part) >= MIN_TRIAL_CRASHES;
        is_suspected && !self.sound.contains(part) || self.undecided.contains(&part)
    }

    fn is_explained(
        &self,
        crash: &Crash,
    ) -> bool {
        self.part_verdicts().any(|verdict| verdict.explains(crash))
    }

    fn request_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts
            .iter()
            .filter(|verdict| verdict.is_of_request())
    }

    /// When the next request is no longer refused.
    fn next_expiry(&self) -> Option<Millis> {
        let since = self.request_verdicts().map(|verdict| verdict.since).min();
        since.map(|since| since + REQUEST_RETENTION)
    }

    fn part_verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts
            .iter()
            .filter(|verdict| !verdict.is_of_request())
    }

    /// A part that crashes upstreams beside each of several others and is only refused together with them.
    ///
    /// Of the crashes under one set of parts as many count as are enough for its verdict, as the others of the set may
    /// have caused any number.
    fn cause_of_sets(
        &self,
        now: Millis,
    ) -> Option<PartId> {
        let sets = self.part_verdicts().filter(|one| one.parts.len() > 1);
        let parts = sets.flat_map(|one| one.parts.iter().copied());
        let is_accused = |part: &PartId| self.crashes.accusations(*part) >= MAX_SHARED_CRASHES;
        let candidates: PartSet = parts.filter(is_accused).collect();
        if candidates.is_empty() {
            return None;
        }
        let mut counts: BTreeMap<PartId, BTreeMap<Option<usize>, usize>> = BTreeMap::new();
        for crash in self.crashes.iter().filter(|crash| crash.is_settled(now)) {
            let verdicts = self.part_verdicts().enumerate();
            let explaining: Vec<_> = verdicts.filter(|(_, one)| one.explains(crash)).collect();
            let set = explaining.first().map(|&(index, _)| index);
            let mut sets = explaining.iter().map(|(_, one)| &one.parts);
            let parts = sets.next().unwrap_or(&candidates);
            let others: Vec<_> = sets.collect();
            for &part in parts.iter().filter(|&&part| crash.accuses(part)) {
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
        let causes = totals.filter(|&(_, count)| count >= MAX_SHARED_CRASHES);
        let mut causes = causes.map(|(part, _)| part);
        let refuses = |part| {
            let mut verdicts = self.verdicts.iter();
            verdicts.any(|verdict| verdict.parts.iter().all(|&known| known == part))
        };
        causes.find(|&part| !refuses(part))
    }

    fn insert(
        &mut self,
        parts: PartSet,
        source: VerdictSource,
        now: Millis,
    ) {
        let is_known = self.verdicts.iter().any(|known| known.parts == parts);
        if parts.is_empty() || is_known {
            return;
        }
        let verdict = Verdict::new(parts.clone(), now);
        let is_same_kind = |known: &&Verdict| known.is_of_request() == verdict.is_of_request();
        let mut same_kind = self.verdicts.iter().filter(is_same_kind);
        let oldest = same_kind.next().map(|oldest| oldest.parts.clone());
        let has_room = same_kind.count() + 1 < MAX_VERDICTS;
        if let Some(oldest) = oldest.filter(|_| !has_room) {
            self.remove(&oldest, VerdictSource::Room, now);
        }
        self.verdicts.push(verdict);
        self.due = self.due.into_iter().chain(self.next_expiry()).min();
        let crashes = self.crashes.accusing(&parts, now);
        self.events.push(QuarantineEvent::Added {
            parts,
            source,
            crashes,
        });
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
            let source = VerdictSource::Evidence;
            self.events.push(QuarantineEvent::Removed { parts, source });
            self.insert(rest, source, verdict.since);
        }
    }
}

/// The suspects that the evidence doesn't tell apart from the most accused one.
fn indistinct<F>(
    suspects: &[Suspect],
    has_alternative: F,
) -> Vec<&Suspect>
where
    F: Fn(&Suspect) -> bool,
{
    let has_unproven = suspects.iter().any(|one| !one.was_sound());
    let open = || {
        suspects
            .iter()
            .filter(|one| !has_unproven || !one.was_sound())
    };
    let Some(top) = open().max_by_key(|one| one.crashes.len()) else {
        return Vec::new();
    };
    let is_shared = has_alternative(top);
    let is_close = |one: &&Suspect| is_shared || one.crashes.len() + 1 >= top.crashes.len();
    let mut common = top.clone();
    let mut group = vec![top];
    for other in open().filter(is_close) {
        let has_room = group.len() < MAX_SET_LEN && other.part != top.part;
        if has_room && other.shares_crashes(&common) {
            common.crashes.retain(|at| other.crashes.contains(at));
            group.push(other);
        }
    }
    group
}
