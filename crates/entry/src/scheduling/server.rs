use {
    super::{
        EvidenceSpec, LocalScheduler, SchedulerNode, Verdict, VmHistory,
        convert::{
            AttemptUpdate, JobUpdate, read_account_uses, read_attempts, read_crashes,
            read_idle_times, read_job, read_leader, read_promises, read_quarantine, read_running,
            read_sound, read_stated, read_update, write_ask_shares, write_leader, write_quarantine,
            write_verdict,
        },
        cost_spec::read_costs,
    },
    crate::{
        clock::Clock,
        store::{Feed, KvStore, write_reply},
        streams::{OriginDirectory, read_origin, write_origin},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{Fence, StreamId},
        scheduler::{AttemptId, Outcome, WaitReason},
    },
    jasmine_store::store::LeaseId,
    jasmine_telemetry::log::Line,
    jasmine_wire::scheduler_capnp::{RenewalState, scheduler},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
};

/// Serves the scheduler RPCs of the other entry VMs.
#[derive(Debug)]
pub struct SchedulerServer {
    scheduling: Rc<SchedulerNode>,
    feed: Rc<Feed>,
    store: KvStore,
    origins: Rc<OriginDirectory>,
    /// The session of each VM, by VM name, under `sessions_fence`.
    sessions: RefCell<HashMap<String, u32>>,
    next_session: Cell<u32>,
    sessions_fence: Cell<Option<Fence>>,
}

impl SchedulerServer {
    /// Creates a server of this VM's scheduler, its cached store changes, its access to the store and the origins that
    /// it keeps.
    pub fn new(
        scheduling: Rc<SchedulerNode>,
        feed: Rc<Feed>,
        store: KvStore,
        origins: Rc<OriginDirectory>,
    ) -> Self {
        Self {
            scheduling,
            feed,
            store,
            origins,
            sessions: RefCell::default(),
            next_session: Cell::new(1),
            sessions_fence: Cell::new(None),
        }
    }

    /// Opens a session for a VM, replacing an earlier one; `None` unless this VM leads.
    fn open_session(
        &self,
        vm: &str,
    ) -> Option<u32> {
        let fence = self.scheduling.fence()?;
        if self.sessions_fence.replace(Some(fence)) != Some(fence) {
            self.sessions.borrow_mut().clear();
        }
        let session = self.next_session.replace(self.next_session.get() + 1);
        let previous = self.sessions.borrow_mut().insert(vm.to_owned(), session);
        if let Some(previous) = previous {
            self.scheduling.local_scheduler.forget_vm(previous);
        }
        Some(session)
    }

    fn has_session(
        &self,
        session: u32,
    ) -> bool {
        let is_leading = self.scheduling.fence().is_some();
        is_leading
            && self.sessions_fence.get() == self.scheduling.fence()
            && self
                .sessions
                .borrow()
                .values()
                .any(|&known| known == session)
    }
}

impl SchedulerServer {
    /// Logs that a VM got no answer from an upstream: of many VMs, the upstream fails; of many upstreams, the VM's links.
    fn log_reported_failure(
        &self,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        if !matches!(outcome, Outcome::Unreachable | Outcome::Silent) {
            return;
        }
        let sessions = self.sessions.borrow();
        let is_of = |&(_, &session): &(&String, &u32)| session == attempt_id.vm;
        let vm = sessions.iter().find(is_of).map(|(vm, _)| vm.as_str());
        let upstream = self.scheduling.local_scheduler.upstream_of(attempt_id);
        Line::new("failure_reported")
            .with("vm", vm.unwrap_or("-"))
            .with("upstream", upstream.as_deref().unwrap_or("-"))
            .with("outcome", format!("{outcome:?}"))
            .info();
    }
}

impl scheduler::Server for SchedulerServer {
    async fn hello(
        self: Rc<Self>,
        params: scheduler::HelloParams,
        mut results: scheduler::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        write_leader(
            results.get().init_leader(),
            self.scheduling.leader().as_ref(),
        );
        let vm = params.get_vm()?.to_str()?;
        let Some(session) = self.open_session(vm) else {
            return Ok(());
        };
        for running in params.get_running()? {
            let running = read_running(running)?;
            self.scheduling.local_scheduler.adopt(session, &running);
        }
        let history = VmHistory {
            counted_for: Millis(params.get_counted_for_ms().into()),
            attempts: read_attempts(params.get_attempts()?)?,
            stated: read_stated(params.get_stated()?)?,
            evidence: EvidenceSpec {
                crashes: read_crashes(params.get_crashes()?)?,
                sound: read_sound(params.get_sound()?)?,
            },
            quarantine: read_quarantine(params.get_quarantine()?)?,
            rates_counted_for: Millis(params.get_rates_counted_for_ms().into()),
            accounts: read_account_uses(params.get_accounts()?)?,
            costs: read_costs(params.get_costs()?)?,
            promises: read_promises(params.get_promises()?)?,
        };
        let local_scheduler = &self.scheduling.local_scheduler;
        local_scheduler.add_history(vm, session, &history);
        results.get().set_session(session);
        Ok(())
    }

    async fn place(
        self: Rc<Self>,
        params: scheduler::PlaceParams,
        mut results: scheduler::PlaceResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let session = params.get_session();
        if !self.has_session(session) {
            return Ok(());
        }
        let spec = read_job(params.get_job()?)?;
        let guard = WithdrawOnDrop {
            local_scheduler: &self.scheduling.local_scheduler,
            attempt_id: AttemptId {
                vm: session,
                number: spec.number,
            },
            is_settled: Cell::new(false),
        };
        let verdict = self.scheduling.local_scheduler.place(session, &spec).await;
        guard.is_settled.set(true);
        // The session ended: `known` is false and the follower ignores the verdict.
        let session_ended = Verdict::Refused {
            refusal: Refusal::new(ErrorKind::NoUpstream),
            waited_for: WaitReason::NoUpstream,
        };
        results.get().set_known(verdict.is_ok());
        write_verdict(
            results.get().init_verdict(),
            &verdict.unwrap_or(session_ended),
        );
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: scheduler::TellParams,
        mut results: scheduler::TellResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let session = params.get_session();
        let known = self.has_session(session);
        results.get().set_known(known);
        if !known {
            return Ok(());
        }
        for update in params.get_news()? {
            let AttemptUpdate {
                number,
                update,
                signals,
            } = read_update(update)?;
            let attempt_id = AttemptId {
                vm: session,
                number,
            };
            if let Some(signals) = &signals {
                let local_scheduler = &self.scheduling.local_scheduler;
                local_scheduler.note_signals(attempt_id, signals);
            }
            match update {
                JobUpdate::FirstEvent => self.scheduling.local_scheduler.first_event(attempt_id),
                JobUpdate::Ended(outcome, evidence) => {
                    self.log_reported_failure(attempt_id, outcome);
                    let local_scheduler = &self.scheduling.local_scheduler;
                    local_scheduler.note_evidence(attempt_id, evidence);
                    local_scheduler.ended(attempt_id, outcome);
                }
            }
        }
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: scheduler::AnnounceParams,
        mut results: scheduler::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        if let Some(leader) = read_leader(params.get_leader()?)? {
            if leader.is_leaving {
                let idle_times = read_idle_times(params.get_rested()?)?;
                self.scheduling.set_handover(leader.fence, idle_times);
            }
            self.scheduling.observe_leader(leader);
        }
        write_leader(
            results.get().init_leader(),
            self.scheduling.leader().as_ref(),
        );
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        params: scheduler::PingParams,
        mut results: scheduler::PingResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let known = params.get_quarantine_hash();
        let local_scheduler = &self.scheduling.local_scheduler;
        let ask_revision = params.get_ask_revision();
        results.get().set_ask_revision(ask_revision);
        if self.scheduling.is_leading()
            && let Some(told) = local_scheduler.told_shares(ask_revision)
        {
            results.get().set_ask_revision(told.revision);
            results.get().set_choice(told.choice);
            let shares = results.get().init_ask_shares(told.shares.len() as u32);
            write_ask_shares(shares, &told.shares);
        }
        if self.scheduling.is_leading() && local_scheduler.quarantine_hash() != known {
            let sets = local_scheduler.quarantined();
            results.get().set_quarantine_differs(true);
            write_quarantine(results.get().init_quarantine(sets.len() as u32), &sets);
        }
        write_leader(
            results.get().init_leader(),
            self.scheduling.leader().as_ref(),
        );
        Ok(())
    }

    async fn renew(
        self: Rc<Self>,
        params: scheduler::RenewParams,
        mut results: scheduler::RenewResults,
    ) -> Result<(), capnp::Error> {
        let lease = LeaseId(params.get()?.get_lease());
        let (state, ttl) = match self.store.renew(lease, RENEWAL_TIMEOUT).await {
            Ok(Some(lease)) => (RenewalState::Renewed, lease.ttl),
            Ok(None) => (RenewalState::Ended, Millis::ZERO),
            Err(e) => {
                Line::new("renewal_not_passed_on")
                    .with("lease", lease)
                    .with("reason", e)
                    .info();
                (RenewalState::Unknown, Millis::ZERO)
            }
        };
        results.get().set_state(state);
        results
            .get()
            .set_ttl_ms(u32::try_from(ttl.0).unwrap_or(u32::MAX));
        Ok(())
    }

    async fn note_origins(
        self: Rc<Self>,
        params: scheduler::NoteOriginsParams,
        _: scheduler::NoteOriginsResults,
    ) -> Result<(), capnp::Error> {
        for origin in params.get()?.get_origins()? {
            let stream = StreamId(origin.get_stream());
            let origin = read_origin(origin.get_origin()?)?;
            self.origins.record(stream, &origin);
        }
        Ok(())
    }

    async fn find_origin(
        self: Rc<Self>,
        params: scheduler::FindOriginParams,
        mut results: scheduler::FindOriginResults,
    ) -> Result<(), capnp::Error> {
        let stream = StreamId(params.get()?.get_stream());
        if let Some(origin) = self.origins.recorded(stream) {
            write_origin(results.get().init_origin(), &origin);
        }
        Ok(())
    }

    async fn known_builds(
        self: Rc<Self>,
        params: scheduler::KnownBuildsParams,
        mut results: scheduler::KnownBuildsResults,
    ) -> Result<(), capnp::Error> {
        let service = params.get()?.get_service()?.to_string()?;
        let asked_at = Clock.now();
        let is_confirmed = self.feed.confirm(asked_at, CONFIRMATION_TIMEOUT).await;
        let known = self.scheduling.known_builds(&service);
        let complete_for = known.complete_for.unwrap_or_default();
        let mut results = results.get();
        results.set_only(known.only.as_deref().unwrap_or_default());
        results.set_complete_for_ms(u32::try_from(complete_for.0).unwrap_or(u32::MAX));
        results.set_is_confirmed(is_confirmed);
        Ok(())
    }

    async fn changes(
        self: Rc<Self>,
        params: scheduler::ChangesParams,
        mut results: scheduler::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let minor_after = Some(params.get_minor_after()).filter(|&revision| revision != 0);
        let wait = Millis(params.get_wait_ms().into()).min(MAX_CHANGES_WAIT);
        let answer = self
            .feed
            .changes(params.get_after(), minor_after, wait)
            .await;
        write_reply(results.get(), &answer);
        Ok(())
    }
}

/// How long the store may take to confirm this VM's view for another VM; shorter than that VM waits.
const CONFIRMATION_TIMEOUT: Millis = Millis(150);
/// Timeout of the store for a forwarded lease renewal; shorter than that of the calling VM.
const RENEWAL_TIMEOUT: Millis = Millis(250);
/// Longest time for which a `changes` call waits, whatever the calling VM requests.
const MAX_CHANGES_WAIT: Millis = Millis(5_000);

/// Withdraws a placement request if its call is dropped because the caller disconnected.
struct WithdrawOnDrop<'a> {
    local_scheduler: &'a LocalScheduler,
    attempt_id: AttemptId,
    is_settled: Cell<bool>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_settled.get() {
            self.local_scheduler
                .ended(self.attempt_id, Outcome::Abandoned);
        }
    }
}
