use {
    super::{
        LOCAL_VM, StatedUpstream,
        signals::{SignalChanges, UpstreamSignals},
        statements::Statements,
        upstream::Upstream,
    },
    crate::{clock::Millis, ids::UpstreamId},
    std::collections::HashMap,
};

/// How long an upstream is remembered after its entry was removed; one that still runs registers
/// again much sooner.
const RETENTION: Millis = Millis(600_000);
/// How long a statement is kept of a run that isn't known: the upstream may have started again since.
const UNKNOWN_RUN_RETENTION: Millis = Millis(30_000);

/// Which run of an upstream has made a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    /// The one with this start.
    Known(Option<u64>),
    /// The one that answered while there was no entry.
    Unknown,
}

/// What upstreams have stated that have no entry now.
///
/// An entry lapses while the store is down, and a VM that has just started has not read all entries:
/// what the upstream states, or has stated, holds for its entry when that comes.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedUpstreams {
    upstreams: HashMap<UpstreamId, Vec<Departed>>,
}

#[derive(Clone, Debug)]
struct Departed {
    at: Millis,
    run: Run,
    statements: Statements,
}

impl Departed {
    fn is_kept(
        &self,
        now: Millis,
    ) -> bool {
        let retention = match self.run {
            Run::Known(_) => RETENTION,
            Run::Unknown => UNKNOWN_RUN_RETENTION,
        };
        now.since(self.at) < retention
    }
}

impl DepartedUpstreams {
    /// Keeps what an upstream has stated whose entry was removed.
    pub(super) fn keep(
        &mut self,
        upstream: Upstream,
        now: Millis,
    ) {
        self.forget_old(now);
        if !upstream.statements.is_empty(now) {
            let kept = self.upstreams.entry(upstream.id).or_default();
            kept.push(Departed {
                at: now,
                run: Run::Known(upstream.started_unix_ms),
                statements: upstream.statements,
            });
        }
    }

    /// Restores what the run of an upstream has stated whose entry has come.
    pub(super) fn restore(
        &mut self,
        upstream: &mut Upstream,
        now: Millis,
    ) {
        let kept = self.upstreams.remove(&upstream.id).unwrap_or_default();
        let run = Run::Known(upstream.started_unix_ms);
        let of_run = |wanted| move |one: &&Departed| one.run == wanted && one.is_kept(now);
        let known = kept.iter().find(of_run(run));
        if let Some(kept) = known.or_else(|| kept.iter().find(of_run(Run::Unknown))) {
            upstream.statements = kept.statements.clone();
        }
    }

    /// Records what an upstream without an entry states in a response to a request of a VM.
    pub(super) fn note(
        &mut self,
        vm: u32,
        id: UpstreamId,
        signals: &UpstreamSignals,
        sent_at: Millis,
        now: Millis,
    ) -> SignalChanges {
        if let Some(kept) = self.upstreams.get_mut(&id) {
            // It may be the run of the last entry, or a later one.
            for one in kept.iter_mut().filter(|one| one.run != Run::Unknown) {
                one.statements.note(vm, signals, sent_at, now);
            }
        } else if *signals == UpstreamSignals::default() {
            return SignalChanges::default();
        }
        let statements = self.statements_of(id, Run::Unknown, now);
        statements.note(vm, signals, sent_at, now)
    }

    /// Adds what a run of an upstream has stated to a VM before this scheduler took over.
    pub(super) fn add(
        &mut self,
        vm: u32,
        told: &StatedUpstream,
        counts_requests: bool,
        now: Millis,
    ) {
        let run = told
            .started_unix_ms
            .map_or(Run::Unknown, |at| Run::Known(Some(at)));
        let statements = self.statements_of(told.upstream, run, now);
        statements.add_told(vm, told, counts_requests, now);
    }

    /// Counts a request of this VM's own callers to an upstream that it has no entry of.
    pub(super) fn note_own_attempt(
        &mut self,
        id: UpstreamId,
        now: Millis,
    ) {
        let kept = self.upstreams.get_mut(&id).into_iter().flatten();
        for one in kept {
            one.statements.own_sent.note(now);
        }
    }

    /// Whether an upstream without an entry may get no request of this VM's own callers.
    pub(super) fn is_unusable(
        &self,
        id: UpstreamId,
        now: Millis,
    ) -> bool {
        let kept = self.upstreams.get(&id).into_iter().flatten();
        let mut kept = kept.filter(|one| one.is_kept(now));
        kept.any(|one| {
            let statements = &one.statements;
            statements.is_leaving || statements.rests.left(LOCAL_VM, now) > Millis::ZERO
        })
    }

    /// What upstreams without an entry have stated, for a new scheduler.
    pub(super) fn stated(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = StatedUpstream> {
        let kept = self.upstreams.iter();
        let kept = kept.flat_map(|(&id, kept)| kept.iter().map(move |one| (id, one)));
        let kept = kept.filter(move |(_, one)| one.is_kept(now));
        kept.filter_map(move |(upstream, one)| {
            Some(StatedUpstream {
                upstream,
                started_unix_ms: match one.run {
                    Run::Known(started) => started,
                    Run::Unknown => None,
                },
                signals: one.statements.signals(now)?,
                sent_ago: one.statements.own_sent.ages(now),
                base_pace: one.statements.told_base(now),
            })
        })
    }

    /// The statements of a run, which are kept from now on.
    fn statements_of(
        &mut self,
        id: UpstreamId,
        run: Run,
        now: Millis,
    ) -> &mut Statements {
        self.forget_old(now);
        let kept = self.upstreams.entry(id).or_default();
        let at = kept.iter().position(|one| one.run == run);
        let at = at.unwrap_or_else(|| {
            kept.push(Departed {
                at: now,
                run,
                statements: Statements::new(Millis::ZERO),
            });
            kept.len() - 1
        });
        kept[at].at = now;
        &mut kept[at].statements
    }

    fn forget_old(
        &mut self,
        now: Millis,
    ) {
        self.upstreams.retain(|_, kept| {
            kept.retain(|one| one.is_kept(now));
            !kept.is_empty()
        });
    }
}
