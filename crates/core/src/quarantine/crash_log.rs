use {
    super::{
        CrashEnd, CrashRef, CrashReport, PartSet, SignOfLife,
        crash::{AccusedPrompt, Crash, MIN_RESTART_TIME, SETTLE_TIME},
    },
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::{BTreeSet, HashMap, VecDeque},
};

/// How long a crash is evidence.
pub(super) const RETENTION: Millis = Millis(600_000);
/// How long after a crash its upstream may be heard to have gone on.
const MAX_REFUTATION_TIME: Millis = Millis(10_000);
/// Most crashes that are kept; the oldest go first.
const MAX_CRASHES: usize = 256;

/// The latest crashes, and the parts that they accuse.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    /// By their time.
    crashes: VecDeque<Crash>,
    /// How many crashes accuse a part; few parts are, so that answers to others cost nothing.
    accusations: HashMap<PartId, usize>,
    /// What several crashes accuse.
    repeated: BTreeSet<PartId>,
    /// Crashes that are no evidence any more, since the last call of [`Self::take_ended`].
    ended: Vec<(UpstreamId, Millis, CrashEnd)>,
}

impl CrashLog {
    /// Records a crash under these prompts and requests. What was sound later, as far as `sound_at` tells, isn't accused.
    pub(super) fn note<F>(
        &mut self,
        upstream: UpstreamId,
        prompts: &[AccusedPrompt],
        requests: &[(PartId, Millis)],
        (at, now): (Millis, Millis),
        sound_at: F,
    ) where
        F: Fn(PartId) -> Option<Millis>,
    {
        self.forget_old(now);
        let prompts_sent = prompts.iter().map(|prompt| prompt.sent_at);
        let sent = prompts_sent.chain(requests.iter().map(|&(_, sent_at)| sent_at));
        let Some(sent_at) = sent.max() else {
            return;
        };
        if now.since(at) >= RETENTION {
            return;
        }
        let index = self.find(upstream, sent_at, at);
        let index = index.unwrap_or_else(|| {
            let index = self.crashes.partition_point(|crash| crash.at <= at);
            self.crashes.insert(index, Crash::new(upstream, at));
            index
        });
        let crash = &mut self.crashes[index];
        let is_open = |part: &PartId| sound_at(*part).is_none_or(|sound| sound < crash.at);
        let prompts = prompts.iter().map(|prompt| AccusedPrompt {
            parts: prompt.parts.iter().copied().filter(is_open).collect(),
            sent_at: prompt.sent_at,
        });
        let prompts: Vec<AccusedPrompt> = prompts.collect();
        let requests = requests.iter().filter(|(request, _)| is_open(request));
        let requests: Vec<(PartId, Millis)> = requests.copied().collect();
        let mut accused: Vec<PartId> = Vec::new();
        for prompt in prompts {
            accused.extend(crash.accuse_prompt(prompt));
        }
        for (request, sent_at) in requests {
            accused.extend(crash.accuse_request(request, sent_at).then_some(request));
        }
        for part in accused {
            let count = self.accusations.entry(part).or_default();
            *count += 1;
            if *count > 1 {
                self.repeated.insert(part);
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            self.forget_first(CrashEnd::Room);
        }
    }

    /// Records a crash that another VM has told.
    ///
    /// A report that comes late moves all its times. For a crash that is known already, its own time counts.
    pub(super) fn note_report<F>(
        &mut self,
        report: &CrashReport,
        now: Millis,
        sound_at: F,
    ) where
        F: Fn(PartId) -> Option<Millis>,
    {
        let at = now.since(report.ago);
        let prompts_sent = report.prompts.iter().map(|prompt| prompt.sent_ago);
        let sent_ago = prompts_sent.chain(report.requests.iter().map(|&(_, sent_ago)| sent_ago));
        let sent_at = now.since(sent_ago.min().unwrap_or_default());
        let known = self.find(report.upstream, sent_at, at);
        let known_at = known.map_or(at, |index| self.crashes[index].at);
        let sent_at = |sent_ago: Millis| known_at.since(sent_ago.since(report.ago));
        let prompts = report.prompts.iter().map(|prompt| AccusedPrompt {
            parts: prompt.parts.iter().copied().collect(),
            sent_at: sent_at(prompt.sent_ago),
        });
        let prompts: Vec<_> = prompts.collect();
        let requests = report.requests.iter();
        let requests: Vec<_> = requests
            .map(|&(request, sent_ago)| (request, sent_at(sent_ago)))
            .collect();
        self.note(report.upstream, &prompts, &requests, (at, now), sound_at);
        self.drop_empty();
    }

    /// The crash that a report of `upstream` at `at`, under prompts that were sent until `sent_at`, is of: the closest one,
    /// as reports that come late have later times.
    fn find(
        &self,
        upstream: UpstreamId,
        sent_at: Millis,
        at: Millis,
    ) -> Option<usize> {
        let known = self.crashes.iter().enumerate().rev();
        let same = known.filter(|(_, crash)| crash.is_same(upstream, sent_at, at));
        let closest = same.min_by_key(|(_, crash)| crash.at.since(at).max(at.since(crash.at)));
        closest.map(|(index, _)| index)
    }

    /// Acquits parts of the crashes until `until`.
    pub(super) fn acquit(
        &mut self,
        parts: &[PartId],
        until: Millis,
    ) {
        let accused: Vec<PartId> = parts
            .iter()
            .copied()
            .filter(|part| self.accusations.contains_key(part))
            .collect();
        if accused.is_empty() {
            return;
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= until) {
            for part in &accused {
                if crash.acquit(*part) {
                    release(&mut self.accusations, &mut self.repeated, *part);
                }
            }
        }
        self.drop_empty();
    }

    /// Forgets crashes that accuse nothing any more.
    fn drop_empty(&mut self) {
        let ended = &mut self.ended;
        self.crashes.retain(|crash| {
            let accuses_any = !crash.prompts.is_empty() || !crash.requests.is_empty();
            if !accuses_any {
                ended.push((crash.upstream, crash.at, CrashEnd::Acquitted));
            }
            accuses_any
        });
    }

    /// Records a sign of life of an upstream: it didn't crash just before, if that is of the same run.
    pub(super) fn note_alive(
        &mut self,
        upstream: UpstreamId,
        sign: SignOfLife,
        now: Millis,
    ) {
        let is_recent = |crash: &Crash| now.since(crash.at) < MAX_REFUTATION_TIME;
        let is_refuted =
            |crash: &Crash| is_recent(crash) && crash.is_refuted_by(upstream, sign, now);
        let latest = self.crashes.iter().rev();
        if !latest.take_while(|crash| is_recent(crash)).any(is_refuted) {
            return;
        }
        for crash in std::mem::take(&mut self.crashes) {
            if is_refuted(&crash) {
                self.release_all(&crash);
                let end = (crash.upstream, crash.at, CrashEnd::Refuted);
                self.ended.push(end);
            } else {
                self.crashes.push_back(crash);
            }
        }
    }

    /// Records that an upstream is gone or has started anew, so that what it sends now refutes no crash of it.
    pub(super) fn note_gone(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        let latest = self.crashes.iter_mut().rev();
        let latest = latest.take_while(|crash| now.since(crash.at) < MIN_RESTART_TIME);
        for crash in latest.filter(|crash| crash.upstream == upstream) {
            crash.is_confirmed = true;
        }
    }

    /// Whether an upstream had crashed just before, so that it may not have been back yet.
    pub(super) fn is_down(
        &self,
        upstream: UpstreamId,
        at: Millis,
    ) -> bool {
        let latest = self.crashes.iter().rev();
        let mut latest = latest.take_while(|crash| at.since(crash.at) < MIN_RESTART_TIME);
        latest.any(|crash| crash.upstream == upstream && crash.at < at)
    }

    /// When the first crash of an upstream came from `since` on.
    pub(super) fn first_of(
        &self,
        upstream: UpstreamId,
        since: Millis,
    ) -> Option<Millis> {
        let latest = self.crashes.iter().rev();
        let latest = latest.take_while(|crash| crash.at >= since);
        let first = latest.filter(|crash| crash.upstream == upstream).last();
        first.map(|crash| crash.at)
    }

    /// When the next crash is settled.
    pub(super) fn next_settled(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let open = self.latest(now).filter(|crash| !crash.is_settled(now));
        open.map(|crash| crash.at + SETTLE_TIME).min()
    }

    /// Whether a crash accuses a part that isn't settled yet.
    pub(super) fn is_unsettled(
        &self,
        part: PartId,
        now: Millis,
    ) -> bool {
        let mut latest = self.latest(now);
        latest.any(|crash| !crash.is_settled(now) && crash.accuses(part))
    }

    /// The crashes whose upstreams can't have started again yet.
    fn latest(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &Crash> {
        let latest = self.crashes.iter().rev();
        latest.take_while(move |crash| now.since(crash.at) < MIN_RESTART_TIME)
    }

    pub(super) fn forget_old(
        &mut self,
        now: Millis,
    ) {
        while let Some(first) = self.crashes.front()
            && now.since(first.at) >= RETENTION
        {
            self.forget_first(CrashEnd::Old);
        }
    }

    /// Takes the crashes that are no evidence any more since the last call.
    pub(super) fn take_ended(
        &mut self,
        now: Millis,
    ) -> Vec<(CrashRef, CrashEnd)> {
        let ended = std::mem::take(&mut self.ended).into_iter();
        let ended = ended.map(|(upstream, at, end)| {
            let ago = now.since(at);
            (CrashRef { upstream, ago }, end)
        });
        ended.collect()
    }

    /// The crashes that accuse a part.
    pub(super) fn accusing(
        &self,
        parts: &PartSet,
        now: Millis,
    ) -> Vec<CrashRef> {
        let accusing = self.crashes.iter();
        let accusing = accusing.filter(|crash| crash.accuses_together(parts));
        let refs = accusing.map(|crash| CrashRef {
            upstream: crash.upstream,
            ago: now.since(crash.at),
        });
        refs.collect()
    }

    /// How many crashes accuse a part.
    pub(super) fn accusations(
        &self,
        part: PartId,
    ) -> usize {
        self.accusations.get(&part).copied().unwrap_or_default()
    }

    /// The only upstream that has crashed under a part; `None` if several or none have.
    pub(super) fn sole_upstream(
        &self,
        part: PartId,
    ) -> Option<UpstreamId> {
        if self.accusations(part) == 0 {
            return None;
        }
        let accusing = self.crashes.iter().filter(|crash| crash.accuses(part));
        let mut upstreams = accusing.map(|crash| crash.upstream);
        let first = upstreams.next()?;
        upstreams.all(|other| other == first).then_some(first)
    }

    /// When the latest crash came that accuses all of the parts in one prompt.
    pub(super) fn last_accusing(
        &self,
        parts: &PartSet,
    ) -> Option<Millis> {
        let mut latest = self.crashes.iter().rev();
        let last = latest.find(|crash| crash.accuses_together(parts));
        last.map(|crash| crash.at)
    }

    /// How many crashes came under a single prompt, which has the part.
    pub(super) fn sole_crashes(
        &self,
        part: PartId,
    ) -> usize {
        let sole = self
            .crashes
            .iter()
            .filter(|crash| matches!(&crash.prompts[..], [prompt] if prompt.parts.contains(&part)));
        sole.count()
    }

    /// The parts that crashes accuse, and the requests.
    pub(super) fn accused(&self) -> impl Iterator<Item = PartId> {
        self.accusations.keys().copied()
    }

    /// The parts that at least so many crashes accuse, and the requests; several crashes.
    pub(super) fn accused_by(
        &self,
        crashes: usize,
    ) -> impl Iterator<Item = PartId> {
        let repeated = self.repeated.iter().copied();
        repeated.filter(move |&part| self.accusations(part) >= crashes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    pub(super) fn reports(
        &self,
        now: Millis,
    ) -> Vec<CrashReport> {
        self.crashes.iter().map(|crash| crash.report(now)).collect()
    }

    fn forget_first(
        &mut self,
        end: CrashEnd,
    ) {
        if let Some(crash) = self.crashes.pop_front() {
            self.ended.push((crash.upstream, crash.at, end));
            self.release_all(&crash);
        }
    }

    fn release_all(
        &mut self,
        crash: &Crash,
    ) {
        for part in crash.all_accused() {
            release(&mut self.accusations, &mut self.repeated, part);
        }
    }
}

fn release(
    accusations: &mut HashMap<PartId, usize>,
    repeated: &mut BTreeSet<PartId>,
    part: PartId,
) {
    if let Some(count) = accusations.get_mut(&part) {
        *count -= 1;
        if *count <= 1 {
            repeated.remove(&part);
        }
        if *count == 0 {
            accusations.remove(&part);
        }
    }
}
