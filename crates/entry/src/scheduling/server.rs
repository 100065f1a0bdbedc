use {
    super::{
        Desk, Scheduling, Verdict,
        convert::{
            News, read_job, read_leader, read_news, read_rested, read_running, write_leader,
            write_verdict,
        },
    },
    crate::store::{Feed, KvStore, write_answer},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::Fence,
        scheduler::{Outcome, Ticket, WaitReason},
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

/// Answers the other entry VMs.
#[derive(Debug)]
pub struct SchedulerServer {
    scheduling: Rc<Scheduling>,
    feed: Rc<Feed>,
    store: KvStore,
    /// The session of each VM under the token of this lead.
    sessions: RefCell<HashMap<String, u32>>,
    next_session: Cell<u32>,
    under: Cell<Option<Fence>>,
}

impl SchedulerServer {
    /// A server of this VM's machine, of what it knows of the store, and of its way there.
    pub fn new(
        scheduling: Rc<Scheduling>,
        feed: Rc<Feed>,
        store: KvStore,
    ) -> Self {
        Self {
            scheduling,
            feed,
            store,
            sessions: RefCell::default(),
            next_session: Cell::new(1),
            under: Cell::new(None),
        }
    }

    /// Opens a session for a VM, in place of the one that it had; none while this VM doesn't lead.
    fn open(
        &self,
        vm: &str,
    ) -> Option<u32> {
        let fence = self.scheduling.fence()?;
        if self.under.replace(Some(fence)) != Some(fence) {
            self.sessions.borrow_mut().clear();
        }
        let session = self.next_session.replace(self.next_session.get() + 1);
        let before = self.sessions.borrow_mut().insert(vm.to_owned(), session);
        if let Some(before) = before {
            self.scheduling.desk.forget_vm(before);
        }
        Some(session)
    }

    fn knows(
        &self,
        session: u32,
    ) -> bool {
        let leads = self.scheduling.fence().is_some();
        leads
            && self.under.get() == self.scheduling.fence()
            && self
                .sessions
                .borrow()
                .values()
                .any(|&known| known == session)
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
        let Some(session) = self.open(params.get_vm()?.to_str()?) else {
            return Ok(());
        };
        for running in params.get_running()? {
            let running = read_running(running)?;
            self.scheduling.desk.adopt(session, &running);
        }
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
        if !self.knows(session) {
            return Ok(());
        }
        let spec = read_job(params.get_job()?)?;
        let guard = Withdrawn {
            desk: &self.scheduling.desk,
            ticket: Ticket {
                vm: session,
                number: spec.number,
            },
            is_settled: Cell::new(false),
        };
        let verdict = self.scheduling.desk.place(session, &spec).await;
        guard.is_settled.set(true);
        // The sender is dropped when the session ends; then there is nothing to run the request on here.
        let lost = Verdict::Refused {
            refusal: Refusal::new(ErrorKind::NoUpstream),
            waited_for: WaitReason::NoUpstream,
        };
        results.get().set_known(verdict.is_ok());
        write_verdict(results.get().init_verdict(), &verdict.unwrap_or(lost));
        Ok(())
    }

    async fn tell(
        self: Rc<Self>,
        params: scheduler::TellParams,
        mut results: scheduler::TellResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let session = params.get_session();
        let known = self.knows(session);
        results.get().set_known(known);
        if !known {
            return Ok(());
        }
        for news in params.get_news()? {
            let (number, what) = read_news(news)?;
            let ticket = Ticket {
                vm: session,
                number,
            };
            match what {
                News::FirstEvent => self.scheduling.desk.first_event(ticket),
                News::Ended(outcome) => self.scheduling.desk.ended(ticket, outcome),
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
                let rested = read_rested(params.get_rested()?)?;
                self.scheduling.note_handed_on(leader.fence, rested);
            }
            self.scheduling.consider(leader);
        }
        write_leader(
            results.get().init_leader(),
            self.scheduling.leader().as_ref(),
        );
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: scheduler::PingParams,
        mut results: scheduler::PingResults,
    ) -> Result<(), capnp::Error> {
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
        let (state, ttl) = match self.store.renew(lease, RENEWAL).await {
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

    async fn changes(
        self: Rc<Self>,
        params: scheduler::ChangesParams,
        mut results: scheduler::ChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let minor_after = Some(params.get_minor_after()).filter(|&revision| revision != 0);
        let wait = Millis(params.get_wait_ms().into()).min(MOST_HELD);
        let answer = self
            .feed
            .changes(params.get_after(), minor_after, wait)
            .await;
        write_answer(results.get(), &answer);
        Ok(())
    }
}

/// How long the store may take for a renewal that is passed on; the asker waits a little longer.
const RENEWAL: Millis = Millis(250);
/// The longest that a question for changes is held, whatever its asker says.
const MOST_HELD: Millis = Millis(5_000);

/// A question whose asker takes it back by dropping its call: its caller has gone.
struct Withdrawn<'a> {
    desk: &'a Desk,
    ticket: Ticket,
    is_settled: Cell<bool>,
}

impl Drop for Withdrawn<'_> {
    fn drop(&mut self) {
        if !self.is_settled.get() {
            self.desk.ended(self.ticket, Outcome::Abandoned);
        }
    }
}
