use {
    super::{
        AccusedPart, CrashCandidates, CrashEvidence, EndSeen, PartSet, QuarantineEvent, SignOfLife,
        SoundReport, VerdictSource,
        crash::AccusedPrompt,
        crash_log::{CrashLog, RETENTION},
        open_attempts::{OpenAttempt, OpenAttempts},
        recent_parts::RecentParts,
        request_suspect::{MIN_SUSPECT_ENDS, RequestSuspect},
        suspect::MIN_CRASHES,
        trial_order::{TrialOrder, TrialRank},
        trials::Trials,
        verdict::Verdict,
        weighing::{Finding, MAX_LATE_CRASHES, Weighing},
    },
    crate::{
        clock::Millis,
        ids::{PartId, RequestId, UpstreamId},
    },
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Most verdicts about parts, and most about requests, that are kept; the oldest go first.
const MAX_VERDICTS: usize = 100;
/// How long a request is refused.
const REQUEST_RETENTION: Millis = Millis(600_000);
/// Crashes under a part that was never answered, from which requests with it go one at a time.
const MIN_TRIAL_CRASHES: usize = 2;
/// Most sound parts that are told to others.
const MAX_SOUND_REPORTS: usize = 256;

/// Evidence about prompt parts, and the parts that are refused.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: CrashLog,
    open: OpenAttempts,
    /// Parts of prompts that were answered, and when the latest answer began.
    sound: RecentParts,
    verdicts: Vec<Verdict>,
    events: Vec<QuarantineEvent>,
    /// When suspects that can't be told apart yet are quarantined together.
    due: Option<Millis>,
    /// The suspects of the last review; prompts with all of several wait, and those with a single one are on trial.
    undecided: PartSet,
    undecided_until: Option<Millis>,
    /// Parts that were sound before several crashes in turn: they go one request at a time.
    doubted: PartSet,
    trial_order: TrialOrder,
    /// When parts on trial may go: others may know more of them before.
    trials_from: Millis,
    trials: Trials,
}

impl PartQuarantine {
    /// Records that an upstream crashed under a request that was sent to it at `sent_at`: as it began to answer its
    /// prompt, which is accused then, or later. `request` is accused if its upstream was seen to have ended.
    pub fn note_crash(
        &mut self,
        upstream: UpstreamId,
        prompt: &[PartId],
        request: Option<PartId>,
        sent_at: Millis,
        now: Millis,
    ) {
        let prompt = AccusedPrompt {
            parts: prompt.iter().copied().collect(),
            sent_at,
        };
        let prompts = Some(prompt).filter(|prompt| !prompt.parts.is_empty());
        let requests = request.map(|request| (request, sent_at));
        let sound = &self.sound;
        self.crashes.note(
            upstream,
            prompts.as_slice(),
            requests.as_slice(),
            (now, now),
            |part| sound.latest(part),
        );
    }

    /// Records that a request which was sent at `sent_at` got no whole answer: it is accused with its prompt if its
    /// upstream is known, or seen later, to have ended meanwhile. Returns whether it is accused now.
    pub fn note_open(
        &mut self,
        upstream: UpstreamId,
        candidates: CrashCandidates<'_>,
        has_broken: bool,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        if self.crashes.is_down(upstream, sent_at) {
            return false;
        }
        let attempt = OpenAttempt {
            prompt: AccusedPrompt {
                parts: candidates.shared.iter().copied().collect(),
                sent_at,
            },
            request: candidates.request,
            ended_at: now,
            has_broken,
        };
        let crashed_at = self.crashes.first_of(upstream, sent_at);
        match crashed_at {
            Some(at) => self.accuse_open(upstream, &attempt, at, now),
            None => self.open.add(upstream, attempt),
        }
        crashed_at.is_some()
    }

    /// Records that an upstream has ended: all that was under way there is accused. Returns whether anything new is.
    pub fn note_upstream_end(
        &mut self,
        upstream: UpstreamId,
        seen: EndSeen,
        now: Millis,
    ) -> bool {
        let mut attempts = self.open.take(upstream, now);
        let crashed_at = match seen {
            EndSeen::Refused => None,
            EndSeen::Restarted { known_at } => self.crashes.first_of(upstream, known_at),
        };
        // What was sent between the crash of a run and the next start has reached nobody.
        attempts.retain(|attempt| {
            let is_before_crash = crashed_at.is_none_or(|at| attempt.sent_at() <= at);
            is_before_crash && !self.crashes.is_down(upstream, attempt.sent_at())
        });
        for attempt in &attempts {
            let at = if attempt.has_broken {
                attempt.ended_at
            } else {
                let crashed_at = self.crashes.first_of(upstream, attempt.sent_at());
                crashed_at.unwrap_or(now)
            };
            self.accuse_open(upstream, attempt, at, now);
        }
        self.note_gone(upstream, now);
        if attempts.is_empty() {
            return false;
        }
        let requests = attempts.iter().map(|attempt| attempt.request).collect();
        self.events.push(QuarantineEvent::Ended {
            upstream,
            seen,
            requests,
        });
        true
    }

    /// Accuses an attempt of a crash at `at`.
    fn accuse_open(
        &mut self,
        upstream: UpstreamId,
        attempt: &OpenAttempt,
        at: Millis,
        now: Millis,
    ) {
        let prompts = std::slice::from_ref(&attempt.prompt);
        let requests = [(attempt.request, attempt.sent_at())];
        let sound = &self.sound;
        let sound_at = |part| sound.latest(part);
        self.crashes
            .note(upstream, prompts, &requests, (at, now), sound_at);
    }

    /// Adds what another VM has recorded.
    pub fn add_evidence(
        &mut self,
        evidence: &CrashEvidence,
        now: Millis,
    ) {
        for report in &evidence.sound {
            let begun_at = now.since(report.ago);
            self.sound.insert(report.part, begun_at);
            self.acquit(&[report.part], begun_at);
        }
        let sound = &self.sound;
        for report in &evidence.crashes {
            let sound_at = |part| sound.latest(part);
            self.crashes.note_report(report, now, sound_at);
        }
    }

    /// Records a sign of life of an upstream, so that it hasn't crashed just before if that is of the same run.
    pub fn note_alive(
        &mut self,
        upstream: UpstreamId,
        sign: SignOfLife,
        now: Millis,
    ) {
        self.crashes.note_alive(upstream, sign, now);
        self.open.note_alive(upstream, sign, now);
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
        if self.crashes.accusations(request) > 0 {
            self.sound.insert(request, begun_at);
        }
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
        self.acquit(parts, begun_at);
        let is_open = |part| self.undecided.contains(part) || self.doubted.contains(part);
        parts.iter().any(is_open)
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

    /// The upstreams that a request may not be sent to now: a suspected one goes to none that has another one, and a prompt
    /// on trial to none that has another one on trial, as a crash would show nothing of either.
    pub fn avoided_upstreams(
        &self,
        candidates: CrashCandidates<'_>,
        now: Millis,
    ) -> Vec<UpstreamId> {
        if self.crashes.is_empty() {
            return Vec::new();
        }
        let mut avoided = Vec::new();
        if self.is_suspected(candidates.request) {
            avoided.extend(self.trials.exclusive_upstreams());
        }
        if candidates.shared.iter().any(|&part| self.is_on_trial(part)) {
            avoided.extend(self.trials.upstreams(now));
        }
        avoided
    }

    /// The upstreams that have crashed under a prompt's parts on trial and no other one has: a trial elsewhere shows
    /// whether they are the cause.
    pub fn crashed_upstreams(
        &self,
        shared: &[PartId],
    ) -> Vec<UpstreamId> {
        if self.crashes.is_empty() {
            return Vec::new();
        }
        let on_trial = shared.iter().filter(|&&part| self.is_on_trial(part));
        let upstreams = on_trial.filter_map(|&part| self.crashes.sole_upstream(part));
        upstreams.collect()
    }

    /// Whether a request that is refused may be sent to see whether its prompt still crashes its upstream.
    ///
    /// A part that was sound before is probed, as what has changed may be the upstreams; and one that may only be what
    /// several crashing parts share, by the least suspect prompts whose other parts explain no crash alone: soon while few
    /// of its crashes came late, and rarely from then on.
    pub fn take_probe(
        &mut self,
        candidates: CrashCandidates<'_>,
        now: Millis,
    ) -> bool {
        let applying = self.verdicts.iter().enumerate();
        let applying: Vec<(usize, &Verdict)> = applying
            .filter(|(_, verdict)| verdict.applies_to(candidates))
            .collect();
        let mut smallest = applying.iter().copied().filter(|(_, one)| {
            let mut others = applying.iter();
            !others.any(|(_, other)| {
                other.parts.len() < one.parts.len() && other.parts.is_subset(&one.parts)
            })
        });
        let (Some((index, verdict)), None) = (smallest.next(), smallest.next()) else {
            return false;
        };
        let checked = match verdict.parts.first() {
            Some(&part) if verdict.parts.len() == 1 => {
                let rank = self.trial_rank(part, candidates.shared);
                let is_first = self.trial_order.is_first(part, rank, now);
                let is_due = verdict.is_check_due(now) && is_first;
                (is_due && rank.sole_crashes == Reverse(0)).then_some(part)
            }
            _ => None,
        };
        let was_sound = verdict.parts.iter().all(|&part| self.sound.contains(part));
        let (may_be_shared, may_be_tried) = checked.map_or((false, false), |part| {
            let has_probes_left = was_sound || self.has_probes_left(part, index, now);
            let weighing = self.weighing(now);
            let may_be_shared = has_probes_left && weighing.may_be_shared(part);
            (
                may_be_shared,
                may_be_shared && weighing.has_trials_left(part),
            )
        });
        let verdict = &mut self.verdicts[index];
        if checked.is_some() {
            verdict.delay_check(now);
        }
        may_be_tried && (!was_sound || verdict.take_shared_probe(now))
            || may_be_shared && verdict.take_late_probe(now)
            || was_sound && verdict.take_probe(now)
    }

    /// Whether fewer requests with a refused part have crashed upstreams late than may do so, as far as was known at any time.
    fn has_probes_left(
        &mut self,
        part: PartId,
        verdict: usize,
        now: Millis,
    ) -> bool {
        let known_at = self.weighing(now).known_at(part);
        let Some(known_at) = self.verdicts[verdict].note_known(known_at) else {
            return true;
        };
        let late = self.weighing(now).late_crashes(part, known_at);
        self.verdicts[verdict].note_late_crashes(late) < MAX_LATE_CRASHES
    }

    /// Whether a prompt with these shared parts has to wait for what others show.
    pub fn holds_parts(
        &mut self,
        parts: &[PartId],
        now: Millis,
    ) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let mut undecided = self.undecided.iter();
        let has_time = self.undecided_until.is_some_and(|until| now < until);
        let mut is_held =
            has_time && self.undecided.len() > 1 && undecided.all(|part| parts.contains(part));
        for &part in parts {
            if !self.is_on_trial(part) {
                is_held |= self.is_trial_pending(part, now);
                continue;
            }
            let rank = self.trial_rank(part, parts);
            let is_first = self.trial_order.is_first(part, rank, now);
            let is_early = now < self.trials_from;
            is_held |= is_early || !is_first || self.is_trial_pending(part, now);
        }
        is_held
    }

    /// Crashes that accuse the second most accused of these parts.
    pub fn suspicion(
        &self,
        parts: &[PartId],
    ) -> usize {
        let accusations = parts.iter().map(|&part| self.crashes.accusations(part));
        let mut accusations: Vec<usize> = accusations.collect();
        accusations.sort_unstable_by_key(|&count| Reverse(count));
        accusations.get(1).copied().unwrap_or_default()
    }

    /// Holds prompts with parts on trial until then, as others that know more of them may be heard.
    pub const fn delay_trials(
        &mut self,
        until: Millis,
    ) {
        self.trials_from = until;
    }

    /// How much the answer to a prompt with these parts shows about one of them.
    fn trial_rank(
        &self,
        part: PartId,
        parts: &[PartId],
    ) -> TrialRank {
        let others = parts.iter().copied().filter(|&other| other != part);
        let accused = others.filter(|&other| self.crashes.accusations(other) > 0);
        let sole_crashes = accused
            .clone()
            .map(|other| self.crashes.sole_crashes(other));
        let accusations = accused.map(|other| self.crashes.accusations(other));
        TrialRank {
            sole_crashes: Reverse(sole_crashes.max().unwrap_or_default()),
            accusations: Reverse(accusations.max().unwrap_or_default()),
        }
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
        let weighing = self.weighing(now);
        let accused: Vec<AccusedPart> = accused
            .map(|part| AccusedPart {
                part,
                crashes: self.crashes.accusations(part),
                late: weighing.known_late_crashes(part),
            })
            .collect();
        if !accused.is_empty() {
            let verdicts = self.verdicts.iter();
            let probed = verdicts.filter(|verdict| verdict.applies_to(candidates));
            let probed = probed.map(|verdict| verdict.parts.clone()).collect();
            self.events.push(QuarantineEvent::Sent {
                request: candidates.request,
                upstream,
                accused,
                probed,
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
        // A VM that decided alone knew less: with what it has told, too, the next review may find the same.
        if source != VerdictSource::Vm || !self.was_sound_lately(&parts, now) {
            self.insert(parts, source, now);
        }
    }

    /// Whether answers have shown some of the parts to be sound while crashes are kept.
    fn was_sound_lately(
        &self,
        parts: &PartSet,
        now: Millis,
    ) -> bool {
        let mut sound = parts.iter().filter_map(|&part| self.sound.latest(part));
        sound.any(|at| now.since(at) < RETENTION)
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

    /// Whether crashes accuse anything.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// What this VM knows of crashes and of sound parts, for others.
    pub fn evidence(
        &self,
        now: Millis,
    ) -> CrashEvidence {
        let accused = self.crashes.accused();
        let accused = accused.filter_map(|part| Some((part, self.sound.latest(part)?)));
        let newest = self.sound.newest(MAX_SOUND_REPORTS);
        let sound: BTreeMap<PartId, Millis> = accused.chain(newest).collect();
        let sound = sound.into_iter().map(|(part, at)| SoundReport {
            part,
            ago: now.since(at),
        });
        CrashEvidence {
            crashes: self.crashes.reports(now),
            sound: sound.collect(),
        }
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
        loop {
            match self.weighing(now).finding() {
                Finding::Guilty(parts) => self.insert(parts, VerdictSource::Evidence, now),
                Finding::Open(parts, due) => {
                    self.due = self.due.into_iter().chain(due).min();
                    self.undecided = parts;
                    self.undecided_until = due;
                    break;
                }
                Finding::Nothing => break,
            }
        }
        self.doubted = self.weighing(now).doubted();
        let mut trial_order = std::mem::take(&mut self.trial_order);
        trial_order.retain(|part| self.is_on_trial(part));
        self.trial_order = trial_order;
        self.events.len() > known_events
    }

    fn weighing(
        &self,
        now: Millis,
    ) -> Weighing<'_> {
        Weighing::new(&self.crashes, &self.sound, &self.verdicts, now)
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
        let accused = self.crashes.accused_by(MIN_CRASHES);
        let suspects: Vec<RequestSuspect> = accused
            .filter(|request| request.is_request())
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
        let accusations = self.crashes.accusations(part);
        let is_doubted = accusations >= MIN_CRASHES && self.doubted.contains(&part);
        let is_unproven = accusations >= MIN_TRIAL_CRASHES && !self.sound.contains(part);
        is_unproven || is_doubted || self.undecided.contains(&part)
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

    /// Acquits parts of the crashes before `begun_at`, as an answer that began then went on, and takes them out of the
    /// verdicts that were reached before or rest on such crashes only.
    fn acquit(
        &mut self,
        parts: &[PartId],
        begun_at: Millis,
    ) {
        let is_acquitted = |verdict: &Verdict| {
            let has_any = parts.iter().any(|part| verdict.parts.contains(part));
            has_any && {
                let last_crash = self.crashes.last_accusing(&verdict.parts);
                verdict.since <= begun_at || last_crash.is_some_and(|at| at <= begun_at)
            }
        };
        let acquitted: Vec<bool> = self.verdicts.iter().map(is_acquitted).collect();
        self.crashes.acquit(parts, begun_at);
        if !acquitted.contains(&true) {
            return;
        }
        let verdicts = std::mem::take(&mut self.verdicts);
        for (verdict, is_acquitted) in verdicts.into_iter().zip(acquitted) {
            if !is_acquitted {
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
