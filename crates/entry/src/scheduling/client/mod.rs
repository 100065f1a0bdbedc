//! Gets placement decisions from the leader, or makes them locally.

use {
    super::{
        Assignment, Handover, JobSpec, Leader, LocalScheduler, Placement, PlacementError,
        RunningSpec, Verdict,
        convert::{AttemptUpdate, JobUpdate, read_verdict, write_job},
    },
    crate::{
        clock::Clock,
        load::{AskCounts, AskEnd},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::Fence,
        quarantine::AttemptEvidence,
        scheduler::{AttemptId, LOCAL_VM, Outcome, RateDecision, UpstreamSignals, WaitReason},
        streams::{KnownBuilds, agreed_build},
    },
    jasmine_telemetry::log::Line,
    jasmine_wire::{
        link::{Link, LinkOptions},
        scheduler_capnp::scheduler,
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        sync::{Notify, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

mod following;
mod leading;

/// Connection settings between entry VMs. A leader that exceeds the timeouts counts as lost.
pub const LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Millis(300),
    call_timeout: Millis(350),
    // `ping_leader` detects a lost leader once per VM; a heartbeat per pending call would overload the leader.
    heartbeat_interval: Millis(60_000),
    backoff_initial: Millis(30),
    backoff_max: Millis(200),
};

/// Pause after the leader assigned an upstream that this VM may not use.
const STALE_ASSIGNMENT_DELAY: Millis = Millis(40);

/// Longest wait for what VMs tell a new leader, from its takeover: covers their retries to reach it.
const MAX_TELLING_WAIT: Millis = Millis(500);
/// How often a rate-limited request asks a new leader again meanwhile.
const TELLING_RETRY_INTERVAL: Millis = Millis(100);
/// Longest wait for a new leader: covers the expiry of the old lease and an election.
const MAX_ELECTION_WAIT: Millis = Millis(1_600);
/// Time that a request which waits for a new leader keeps for its upstream.
const MIN_TIME_AFTER_ELECTION: Millis = Millis(300);
/// Retry delay sent to callers while this VM has read only part of the upstreams.
const NO_UPSTREAM_RETRY_DELAY: Millis = Millis(500);

type SchedulerLink = Link<scheduler::Client>;

/// Which VM schedules this VM's requests.
#[derive(Clone, Debug)]
enum Mode {
    /// This VM schedules its own requests, with its share of the rate limits.
    Standalone,
    /// This VM schedules the requests of all VMs, under this fencing token.
    Leading(Fence),
    /// The leader schedules; holds the link to it and this VM's session there.
    Following(Rc<SchedulerLink>, u32),
}

/// This VM's part in scheduling: as leader, as follower, or on its own without a leader.
#[derive(Debug)]
pub struct SchedulerNode {
    /// The scheduler that runs in this process.
    pub local_scheduler: Rc<LocalScheduler>,
    /// What this VM has asked the leader.
    pub asks: AskCounts,
    me: String,
    address: SocketAddr,
    incarnation: u64,
    clock: Clock,
    mode: RefCell<Mode>,
    leader: RefCell<Option<Leader>>,
    /// Idle times of the engines, as announced by a leader that stopped.
    handover: RefCell<Option<Handover>>,
    /// End of the leader lease; set only where engines don't check fencing tokens.
    lease_valid_until: Cell<Option<Millis>>,
    /// End of the leader lease, by which parts of the upstreams' limits are used.
    leader_lease_until: Cell<Millis>,
    /// When this VM took over from another leader, if it did.
    took_over_at: Cell<Option<Millis>>,
    /// When the leader stopped answering.
    leader_silent_since: Cell<Option<Millis>>,
    /// Whether only part of the store's upstreams has been read so far.
    has_partial_upstreams: Cell<bool>,
    /// Since when this VM has known all upstreams.
    upstreams_known_since: Cell<Option<Millis>>,
    /// Since when this VM has led or followed the leader, if it does.
    scheduler_since: Cell<Option<Millis>>,
    /// When this VM entered [`Mode::Standalone`], if it is in it.
    standalone_since: Cell<Option<Millis>>,
    /// Counts changes of the known leader.
    leader_changed: watch::Sender<u64>,
    /// Counts changes of `mode`.
    mode_changed: watch::Sender<u64>,
    next_number: Cell<u64>,
    running: RefCell<HashMap<u64, Running>>,
    outbox: RefCell<Vec<AttemptUpdate>>,
    update_queued: Notify,
    /// Notified when a call ends: its slot may be needed at once.
    urgent_update_queued: Notify,
    /// Number of equal shares of the rate limits; this VM uses one of them while standalone.
    share_count: Cell<u64>,
    /// Peer addresses of all VMs that the store lists, by name.
    vms: RefCell<BTreeMap<String, SocketAddr>>,
}

#[derive(Clone, Debug)]
struct Running {
    spec: RunningSpec,
    since: Millis,
    /// When its first event arrived.
    begun_at: Option<Millis>,
}

impl SchedulerNode {
    /// Creates the scheduling state of the VM `me`, which its peers reach at `address`.
    pub fn new(
        local_scheduler: Rc<LocalScheduler>,
        me: String,
        address: SocketAddr,
        incarnation: u64,
    ) -> Self {
        Self {
            local_scheduler,
            asks: AskCounts::default(),
            me,
            address,
            incarnation,
            clock: Clock,
            mode: RefCell::new(Mode::Standalone),
            leader: RefCell::default(),
            handover: RefCell::default(),
            lease_valid_until: Cell::new(None),
            leader_lease_until: Cell::new(Millis::ZERO),
            took_over_at: Cell::new(None),
            leader_silent_since: Cell::new(None),
            has_partial_upstreams: Cell::new(false),
            upstreams_known_since: Cell::new(None),
            scheduler_since: Cell::new(None),
            standalone_since: Cell::new(Some(Clock.now())),
            leader_changed: watch::Sender::default(),
            mode_changed: watch::Sender::default(),
            next_number: Cell::new(1),
            running: RefCell::default(),
            outbox: RefCell::default(),
            update_queued: Notify::new(),
            urgent_update_queued: Notify::new(),
            share_count: Cell::new(1),
            vms: RefCell::default(),
        }
    }

    /// Spawns the background tasks.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).follow_leader());
        spawn_local(Rc::clone(self).send_updates());
        self.local_scheduler.begin_standalone();
        let local_scheduler = Rc::clone(&self.local_scheduler);
        spawn_local(async move { local_scheduler.run().await });
    }

    /// This VM's name.
    pub fn me(&self) -> &str {
        &self.me
    }

    /// Finds an upstream for a request; may wait until the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request has not run.
    pub async fn place(
        self: &Rc<Self>,
        spec: JobSpec,
    ) -> Result<Placement, PlacementError> {
        let began = self.clock.now();
        let mut excluded_upstreams = spec.excluded_upstreams.clone();
        let mut has_asked = false;
        loop {
            let mut spec = spec.clone();
            spec.excluded_upstreams.clone_from(&excluded_upstreams);
            let spent = self.clock.now().since(began);
            spec.objective = spec.objective.since(spent);
            spec.deadline = spec.deadline.since(spent);
            spec.number = self.next_number.replace(self.next_number.get() + 1);
            if let Some(generation) = &mut spec.generation {
                self.local_scheduler.add_newest_version(generation);
            }
            let pending = PendingPlacement {
                scheduling: self,
                number: spec.number,
                is_settled: Cell::new(false),
            };
            // A former leader may assign upstreams that have been removed since: ask again when the mode changes.
            let mut mode_changed = self.mode_changed.subscribe();
            if let Some(wait) = self.remaining_trial_wait(&spec) {
                pending.is_settled.set(true);
                // Another VM may know of more upstreams that ended under the request.
                let _either = timeout(wait.to_std(), mode_changed.changed()).await;
                continue;
            }
            let mode = self.mode.borrow().clone();
            if matches!(mode, Mode::Following(..)) {
                if let Err(refused) = self.refuse_unasked(&spec) {
                    pending.is_settled.set(true);
                    return Err(refused);
                }
                if std::mem::replace(&mut has_asked, true) {
                    self.asks.note_repeated();
                }
            }
            let verdict = tokio::select! {
                verdict = self.request_verdict(mode, &spec) => verdict,
                _ = mode_changed.changed() => None,
            };
            match verdict {
                Some(Verdict::Assigned(mut assignment)) => {
                    pending.is_settled.set(true);
                    assignment.build = self.agreed_build(&assignment);
                    // A version may have been announced while the request waited at the leader.
                    assignment.version = self
                        .local_scheduler
                        .current_version(&spec, assignment.version);
                    if self.is_stale_assignment(&assignment, &spec) {
                        // The leader may not know yet that this upstream is leaving, wants rest or has restarted.
                        let end = JobUpdate::Ended(Outcome::Abandoned, AttemptEvidence::NONE);
                        self.record_update(spec.number, end, None);
                        excluded_upstreams.push(assignment.upstream);
                        sleep(STALE_ASSIGNMENT_DELAY.to_std()).await;
                        continue;
                    }
                    self.local_scheduler
                        .record_own_decision(&spec, RateDecision::Admitted);
                    self.local_scheduler
                        .note_own_attempt(&spec, &assignment.upstream);
                    let expected = self.local_scheduler.expected_cost(&spec);
                    let running = self.track_running(spec, &assignment);
                    let now = self.clock.now();
                    let mut placement = Placement::new(Rc::clone(self), running, assignment, now);
                    placement.expected_cost = expected;
                    return Ok(placement);
                }
                Some(Verdict::Refused { refusal, .. })
                    if let Some(wait) = self.remaining_takeover_wait(&refusal, &spec) =>
                {
                    pending.is_settled.set(true);
                    // Retry with or without a new leader.
                    let _either = timeout(wait.to_std(), mode_changed.changed()).await;
                }
                Some(Verdict::Refused {
                    refusal,
                    waited_for,
                }) => {
                    pending.is_settled.set(true);
                    match refusal.kind {
                        ErrorKind::RateLimited => self
                            .local_scheduler
                            .record_own_decision(&spec, RateDecision::RateLimited),
                        ErrorKind::CannotMeetDeadline if self.standalone_for().is_none() => {
                            self.local_scheduler.note_told_return(&spec, &refusal);
                        }
                        // The leader may be lost before this VM asks for its verdicts.
                        ErrorKind::RequestQuarantined => {
                            self.local_scheduler.refuse_request(spec.caller);
                        }
                        _ => {}
                    }
                    return Err(PlacementError {
                        refusal,
                        waited_for,
                    });
                }
                // The mode has changed: ask again.
                None => {}
            }
        }
    }

    /// Refuses a request about which the leader doesn't want to be asked.
    fn refuse_unasked(
        &self,
        spec: &JobSpec,
    ) -> Result<(), PlacementError> {
        self.local_scheduler.check_ask(spec).map_err(|refusal| {
            self.asks.note_answered_here();
            self.local_scheduler
                .record_own_decision(spec, RateDecision::RateLimited);
            PlacementError {
                refusal,
                waited_for: WaitReason::Turn,
            }
        })
    }

    /// How long a refused request should wait for an election, or for what VMs tell the elected leader.
    fn remaining_takeover_wait(
        &self,
        refusal: &Refusal,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let wait = self.remaining_election_wait(refusal, spec);
        wait.or_else(|| self.remaining_telling_wait(refusal, spec))
    }

    /// How long a request refused by a new leader should wait before it asks again.
    ///
    /// The leader grants little of each limit until all VMs have told what their callers used.
    fn remaining_telling_wait(
        &self,
        refusal: &Refusal,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let scheduler_for = self.clock.now().since(self.scheduler_since.get()?);
        let is_limited = refusal.kind == ErrorKind::RateLimited;
        let wait = MAX_TELLING_WAIT
            .since(scheduler_for)
            .min(TELLING_RETRY_INTERVAL)
            .min(Millis(spec.deadline.0 / 2));
        (is_limited && wait > Millis::ZERO).then_some(wait)
    }

    /// How much longer a request under which an upstream ended should wait for an election.
    ///
    /// The next leader learns from all VMs how many have ended under it.
    fn remaining_trial_wait(
        &self,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let standalone_for = self.standalone_for()?;
        if !self.local_scheduler.is_accused(spec.caller) {
            return None;
        }
        let wait = MAX_ELECTION_WAIT
            .since(standalone_for)
            .min(spec.deadline.since(MIN_TIME_AFTER_ELECTION));
        (wait > Millis::ZERO).then_some(wait)
    }

    /// How much longer a request refused in standalone mode should wait for an election.
    ///
    /// With hundreds of VMs a VM's share of a rate limit is less than one request; a new leader may accept it.
    fn remaining_election_wait(
        &self,
        refusal: &Refusal,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let standalone_for = self.standalone_for()?;
        let is_retryable = matches!(refusal.kind, ErrorKind::RateLimited | ErrorKind::NoUpstream);
        let wait = MAX_ELECTION_WAIT
            .since(standalone_for)
            .min(Millis(spec.deadline.0 / 2));
        (is_retryable && wait > Millis::ZERO).then_some(wait)
    }

    /// Reports a request's progress to the local scheduler and, unless this VM leads, to the leader.
    pub(super) fn record_update(
        &self,
        number: u64,
        update: JobUpdate,
        signals: Option<UpstreamSignals>,
    ) {
        let attempt_id = AttemptId {
            vm: LOCAL_VM,
            number,
        };
        if let Some(signals) = &signals {
            self.local_scheduler.note_signals(attempt_id, signals);
        }
        let mut is_urgent = false;
        match update {
            JobUpdate::FirstEvent => {
                if let Some(running) = self.running.borrow_mut().get_mut(&number) {
                    running.spec.has_begun = true;
                    running.begun_at.get_or_insert(self.clock.now());
                    self.local_scheduler.note_alive(&running.spec.upstream);
                }
                self.local_scheduler.first_event(attempt_id);
            }
            JobUpdate::Ended(outcome, evidence) => {
                let running = self.running.borrow_mut().remove(&number);
                if let Some(running) = running.as_ref().filter(|_| outcome.has_response()) {
                    self.local_scheduler.note_alive(&running.spec.upstream);
                }
                self.note_evidence(running.as_ref(), attempt_id, evidence);
                is_urgent = running
                    .as_ref()
                    .is_none_or(|running| running.spec.job.generation.is_none());
                self.note_cost(running.as_ref(), attempt_id, outcome);
                self.local_scheduler.ended(attempt_id, outcome);
            }
        }
        if !self.is_leading() {
            self.outbox.borrow_mut().push(AttemptUpdate {
                number,
                update,
                signals,
            });
            let notification = if is_urgent {
                &self.urgent_update_queued
            } else {
                &self.update_queued
            };
            notification.notify_one();
        }
    }

    /// Learns what an answered request cost that the leader assigned; the local scheduler learns from
    /// those that it assigned itself.
    fn note_cost(
        &self,
        running: Option<&Running>,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        let (Some(running), Outcome::Answered { took }) = (running, outcome) else {
            return;
        };
        if self.local_scheduler.upstream_of(attempt_id).is_some() {
            return;
        }
        let work = match running.spec.job.generation {
            None => Some(took),
            Some(_) => running.begun_at.map(|at| self.clock.now().since(at)),
        };
        if let Some(work) = work {
            self.local_scheduler.note_own_cost(&running.spec, work);
        }
    }

    /// Records what the end of a request shows about its prompt.
    fn note_evidence(
        &self,
        running: Option<&Running>,
        attempt_id: AttemptId,
        evidence: AttemptEvidence,
    ) {
        let local_scheduler = &self.local_scheduler;
        if self.is_following() {
            if let Some(running) = running {
                local_scheduler.note_own_evidence(&running.spec, evidence, running.since);
            }
        } else {
            local_scheduler.note_evidence(attempt_id, evidence);
        }
    }

    /// Records what an upstream states in a response to a request that was sent at `sent_at`.
    pub fn note_signals(
        &self,
        upstream: &str,
        signals: &UpstreamSignals,
        sent_at: Millis,
    ) {
        let changes = self
            .local_scheduler
            .note_own_signals(upstream, signals, sent_at);
        match changes.request_limit {
            Some(Some(per_second)) => Line::new("request_limit_stated")
                .with("upstream", upstream)
                .with("per_second", per_second)
                .info(),
            Some(None) => Line::new("request_limit_ended")
                .with("upstream", upstream)
                .info(),
            None => {}
        }
        match changes.max_rejections {
            Some(Some(max_rejections)) => Line::new("brittleness_stated")
                .with("upstream", upstream)
                .with("max_rejections_per_second", max_rejections)
                .info(),
            Some(None) => Line::new("brittleness_ended")
                .with("upstream", upstream)
                .info(),
            None => {}
        }
        if let Some(rest) = changes.rest {
            Line::new("rest_requested")
                .with("upstream", upstream)
                .with("ms", rest)
                .info();
        }
        if changes.is_leaving {
            Line::new("departure_stated")
                .with("upstream", upstream)
                .info();
        }
    }

    /// Sets whether only part of the store's upstreams has been read so far.
    pub fn set_partial_upstreams(
        &self,
        has_partial_upstreams: bool,
    ) {
        self.has_partial_upstreams.set(has_partial_upstreams);
        if !has_partial_upstreams && self.upstreams_known_since.get().is_none() {
            self.upstreams_known_since.set(Some(self.clock.now()));
        }
    }

    /// What this VM knows of the builds of a service, not confirmed by the store.
    pub fn known_builds(
        &self,
        service: &str,
    ) -> KnownBuilds {
        let since = self.upstreams_known_since.get();
        KnownBuilds {
            only: self.local_scheduler.only_build(service),
            complete_for: since
                .filter(|_| !self.has_partial_upstreams.get())
                .map(|at| self.clock.now().since(at)),
            is_confirmed: false,
        }
    }

    /// Forgets since when all upstreams are known: some may have come and left unnoticed.
    pub fn note_missed_upstreams(&self) {
        let since = self.upstreams_known_since.take();
        self.upstreams_known_since
            .set(since.map(|_| self.clock.now()));
    }

    /// Whether this VM is the leader.
    pub fn is_leading(&self) -> bool {
        matches!(*self.mode.borrow(), Mode::Leading(_))
    }

    /// Whether this VM has a session with the leader.
    pub fn is_following(&self) -> bool {
        matches!(*self.mode.borrow(), Mode::Following(..))
    }

    /// Which VM schedules for this VM, for the log: `alone`, `own/FENCE` or `VM/FENCE`.
    pub fn decider(&self) -> String {
        match &*self.mode.borrow() {
            Mode::Standalone => "alone".to_owned(),
            Mode::Leading(fence) => format!("own/{fence}"),
            Mode::Following(..) => {
                let leader = self.leader();
                leader.map_or_else(String::new, |leader| {
                    format!("{}/{}", leader.vm, leader.fence)
                })
            }
        }
    }

    /// Replaces the list of VMs and their peer addresses.
    pub fn set_vms(
        &self,
        vms: BTreeMap<String, SocketAddr>,
    ) {
        self.local_scheduler.set_vms(vms.keys());
        self.vms.replace(vms);
        if !self.is_leading() {
            self.update_admission_share();
        }
        // The share of a VM that leaves stays unused; only additional VMs make the shares smaller.
        let has_more_vms = self.vms.borrow().len() as u64 > self.share_count.get();
        if has_more_vms && matches!(*self.mode.borrow(), Mode::Standalone) {
            self.local_scheduler.set_role(false, self.rights_share());
        }
    }

    /// Peer addresses of all VMs that the store lists, by name.
    pub fn vms(&self) -> BTreeMap<String, SocketAddr> {
        self.vms.borrow().clone()
    }

    /// Whether the leader assigned an upstream that this VM knows to be leaving or removed, that
    /// wants rest from this VM, or whose build may not be the required one.
    fn is_stale_assignment(
        &self,
        assignment: &Assignment,
        spec: &JobSpec,
    ) -> bool {
        let is_other_build = spec.build.is_some() && spec.build != assignment.build;
        let scheduler = &self.local_scheduler;
        self.is_following()
            && (is_other_build || scheduler.is_unusable_or_removed(&assignment.upstream))
    }

    /// The build of an assigned upstream, if the scheduler and this VM agree on it.
    fn agreed_build(
        &self,
        assignment: &Assignment,
    ) -> Option<String> {
        let own = self.local_scheduler.build_of(&assignment.upstream);
        agreed_build(assignment.build.as_deref(), own.as_deref()).map(str::to_owned)
    }

    /// Records a request as running and returns its number.
    fn track_running(
        &self,
        spec: JobSpec,
        assignment: &Assignment,
    ) -> u64 {
        let number = spec.number;
        let running = Running {
            spec: RunningSpec {
                job: spec,
                upstream: assignment.upstream.clone(),
                version: assignment.version,
                has_begun: false,
            },
            since: self.clock.now(),
            begun_at: None,
        };
        self.running.borrow_mut().insert(number, running);
        number
    }

    async fn place_on_leader(
        &self,
        link: &Rc<SchedulerLink>,
        session: u32,
        spec: &JobSpec,
    ) -> Option<Verdict> {
        let mut ask = Ask {
            scheduling: self,
            began: self.clock.now(),
            end: AskEnd::GivenUp,
        };
        let answer = link
            .call(spec.deadline, |client| async move {
                let mut req = client.place_request();
                req.get().set_session(session);
                write_job(req.get().init_job(), spec);
                let res = req.send().promise.await?;
                let res = res.get()?;
                if res.get_known() {
                    read_verdict(res.get_verdict()?).map(Some)
                } else {
                    Ok(None)
                }
            })
            .await;
        ask.end = match &answer {
            Ok(Some(Verdict::Assigned(_))) => AskEnd::Assigned,
            Ok(Some(Verdict::Refused { .. })) => AskEnd::Refused,
            Ok(None) | Err(_) => AskEnd::Lost,
        };
        match answer {
            Ok(Some(verdict)) => Some(verdict),
            Ok(None) => {
                self.drop_leader("session unknown");
                None
            }
            Err(e) => {
                self.drop_leader(&e.to_string());
                None
            }
        }
    }

    async fn request_verdict(
        &self,
        mode: Mode,
        spec: &JobSpec,
    ) -> Option<Verdict> {
        match mode {
            Mode::Following(link, session) => self.place_on_leader(&link, session, spec).await,
            // Otherwise the few upstreams read so far would get all requests.
            Mode::Standalone if self.has_partial_upstreams.get() => Some(Verdict::Refused {
                refusal: Refusal::after(ErrorKind::NoUpstream, NO_UPSTREAM_RETRY_DELAY),
                waited_for: WaitReason::NoUpstream,
            }),
            Mode::Leading(_) | Mode::Standalone => {
                self.local_scheduler.place(LOCAL_VM, spec).await.ok()
            }
        }
    }

    fn set_mode(
        &self,
        mode: Mode,
    ) {
        if matches!(mode, Mode::Standalone) {
            let now = self.clock.now();
            self.standalone_since
                .set(self.standalone_since.get().or(Some(now)));
            self.scheduler_since.set(None);
        } else {
            self.scheduler_since.set(Some(self.clock.now()));
            self.leader_silent_since.set(None);
            self.standalone_since.set(None);
        }
        self.mode.replace(mode);
        self.update_admission_share();
        self.mode_changed.send_modify(|count| *count += 1);
        self.notify_leader_change();
    }

    fn notify_leader_change(&self) {
        self.leader_changed.send_modify(|count| *count += 1);
    }

    fn running_specs(&self) -> Vec<RunningSpec> {
        let now = self.clock.now();
        let running = self.running.borrow();
        let aged = running.values().map(|running| {
            let mut spec = running.spec.clone();
            let age = now.since(running.since);
            spec.job.objective = spec.job.objective.since(age);
            spec.job.deadline = spec.job.deadline.since(age);
            if let Some(generation) = &mut spec.job.generation {
                self.local_scheduler.add_newest_version(generation);
            }
            spec
        });
        aged.collect()
    }
}

/// A question to the leader, counted when it ends.
struct Ask<'a> {
    scheduling: &'a SchedulerNode,
    began: Millis,
    end: AskEnd,
}

impl Drop for Ask<'_> {
    fn drop(&mut self) {
        let took = self.scheduling.clock.now().since(self.began);
        self.scheduling.asks.note_end(self.end, took);
    }
}

/// A placement request without a result yet.
///
/// Dropped unsettled, because the caller disconnected or the mode changed, it releases what was reserved for it.
struct PendingPlacement<'a> {
    scheduling: &'a Rc<SchedulerNode>,
    number: u64,
    is_settled: Cell<bool>,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        if !self.is_settled.get() {
            let update = JobUpdate::Ended(Outcome::Abandoned, AttemptEvidence::NONE);
            self.scheduling.record_update(self.number, update, None);
        }
    }
}
