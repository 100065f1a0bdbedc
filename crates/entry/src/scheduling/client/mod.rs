//! This VM's way to a decision: by itself, for all, or from the leader.

use {
    super::{
        Desk, HandedOn, JobSpec, Leader, Placement, RunningSpec, Unplaced, Verdict,
        convert::{News, read_verdict, write_job},
    },
    crate::clock::Clock,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::Fence,
        scheduler::{Outcome, OwnDecision, Ticket, WaitReason},
    },
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

/// The VM number under which a machine knows the requests of its own VM.
pub(super) const OWN: u32 = 0;
/// The times of connections between entry VMs, which stand a millisecond apart. A scheduler that is silent for
/// this long is done without.
const LINK: LinkOptions = LinkOptions {
    connect_timeout: Millis(300),
    call_timeout: Millis(350),
    // One question a VM says whether the scheduler lives. With one for each request that waits, some hundred of them asked
    // for more of its processor than all requests.
    heartbeat: Millis(60_000),
    backoff_first: Millis(30),
    backoff_most: Millis(200),
};

/// The pause after a decision for an upstream that this VM knows to leave: the scheduler soon knows it too.
const BETTER_KNOWN: Millis = Millis(40);

/// Within which time after the last sign of a leader another one mostly leads: its lease lapses, and one VM is elected.
const ELECTION: Millis = Millis(1_600);
/// When a caller is told to come back whose service has no upstream that this VM knows.
const NO_UPSTREAM_YET: Millis = Millis(500);

type SchedulerLink = Link<scheduler::Client>;

/// Who decides for this VM now.
#[derive(Clone, Debug)]
enum Mode {
    /// This VM, for itself, with its part of the rights.
    Alone,
    /// This VM, for all.
    Leading(Fence),
    /// The leader, which knows this VM by a session.
    Following(Rc<SchedulerLink>, u32),
}

/// This VM's way to a decision about a request.
#[derive(Debug)]
pub struct Scheduling {
    /// The machine that decides here.
    pub desk: Rc<Desk>,
    me: String,
    address: SocketAddr,
    incarnation: u64,
    clock: Clock,
    mode: RefCell<Mode>,
    leader: RefCell<Option<Leader>>,
    /// What a leader that left has said of its last orders.
    handed_on: RefCell<Option<HandedOn>>,
    /// Until when this VM's lead surely lasts, where engines don't check who gives them orders.
    lead_until: Cell<Option<Millis>>,
    /// Since when the leader hasn't answered.
    silent_since: Cell<Option<Millis>>,
    /// Whether a part of the upstreams only is known, as the others are still to be read.
    knows_part: Cell<bool>,
    /// Since when this VM decides alone, if it does.
    alone_since: Cell<Option<Millis>>,
    /// Counts changes of the leader that is known.
    changed: watch::Sender<u64>,
    /// Counts changes of who decides.
    mode_changed: watch::Sender<u64>,
    next_number: Cell<u64>,
    running: RefCell<HashMap<u64, Running>>,
    outbox: RefCell<Vec<(u64, News)>>,
    has_news: Notify,
    /// Told with the end of a call: its upstream has few places, and somebody waits for each.
    has_urgent_news: Notify,
    /// The parts of all rates of which this VM has one, while it decides alone.
    parts: Cell<u64>,
    /// The VMs that the store lists.
    vms: RefCell<BTreeMap<String, SocketAddr>>,
}

#[derive(Clone, Debug)]
struct Running {
    spec: RunningSpec,
    since: Millis,
}

impl Scheduling {
    /// The way of the VM `me`, whose peers reach it at `address`.
    pub fn new(
        desk: Rc<Desk>,
        me: String,
        address: SocketAddr,
        incarnation: u64,
    ) -> Self {
        Self {
            desk,
            me,
            address,
            incarnation,
            clock: Clock,
            mode: RefCell::new(Mode::Alone),
            leader: RefCell::default(),
            handed_on: RefCell::default(),
            lead_until: Cell::new(None),
            silent_since: Cell::new(None),
            knows_part: Cell::new(false),
            alone_since: Cell::new(Some(Clock.now())),
            changed: watch::Sender::default(),
            mode_changed: watch::Sender::default(),
            next_number: Cell::new(1),
            running: RefCell::default(),
            outbox: RefCell::default(),
            has_news: Notify::new(),
            has_urgent_news: Notify::new(),
            parts: Cell::new(1),
            vms: RefCell::default(),
        }
    }

    /// Starts what goes on in the background.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).follow_leader());
        spawn_local(Rc::clone(self).send_news());
        let desk = Rc::clone(&self.desk);
        spawn_local(async move { desk.run().await });
    }

    /// This VM's name.
    pub fn me(&self) -> &str {
        &self.me
    }

    /// Finds an upstream for a request, which may take until its deadline.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run.
    pub async fn place(
        self: &Rc<Self>,
        spec: JobSpec,
    ) -> Result<Placement, Unplaced> {
        let began = self.clock.now();
        let mut avoid = spec.avoid.clone();
        loop {
            let mut spec = spec.clone();
            spec.avoid.clone_from(&avoid);
            let spent = self.clock.now().since(began);
            spec.objective = spec.objective.since(spent);
            spec.deadline = spec.deadline.since(spent);
            spec.number = self.next_number.replace(self.next_number.get() + 1);
            let pending = Pending {
                scheduling: self,
                number: spec.number,
                is_settled: Cell::new(false),
            };
            // Whoever decided until now may know less from here on: a leader that lost the store goes on assigning
            // upstreams that have left since. So a question doesn't outlive the mode in which it was asked.
            let mut mode_changed = self.mode_changed.subscribe();
            let mode = self.mode.borrow().clone();
            let verdict = tokio::select! {
                verdict = self.ask(mode, &spec) => verdict,
                _ = mode_changed.changed() => None,
            };
            match verdict {
                Some(Verdict::Go {
                    upstream,
                    address,
                    version,
                    waited_for,
                }) => {
                    pending.is_settled.set(true);
                    if self.knows_better(&upstream) {
                        // A scheduler that has lost the store may not know yet that this one leaves.
                        self.note(spec.number, News::Ended(Outcome::Abandoned));
                        avoid.push(upstream);
                        sleep(BETTER_KNOWN.to_std()).await;
                        continue;
                    }
                    self.desk.note_own(&spec, OwnDecision::LetThrough);
                    let running = self.note_running(spec, &upstream, version);
                    return Ok(Placement::new(
                        Rc::clone(self),
                        running,
                        upstream,
                        address,
                        version,
                        waited_for,
                    ));
                }
                Some(Verdict::Refused { refusal, .. })
                    if let Some(wait) = self.worth_waiting(&refusal, &spec) =>
                {
                    pending.is_settled.set(true);
                    // Whether somebody leads by then or not, the request is decided about once more.
                    let _either = timeout(wait.to_std(), mode_changed.changed()).await;
                }
                Some(Verdict::Refused {
                    refusal,
                    waited_for,
                }) => {
                    pending.is_settled.set(true);
                    if refusal.kind == ErrorKind::RateLimited {
                        self.desk.note_own(&spec, OwnDecision::OverRate);
                    }
                    return Err(Unplaced {
                        refusal,
                        waited_for,
                    });
                }
                // Somebody else decides by now.
                None => {}
            }
        }
    }

    /// How long a request is kept that this VM alone can't serve, as whoever is about to lead may: a VM's part of a rate is
    /// less than one request where there are hundreds of VMs.
    fn worth_waiting(
        &self,
        refusal: &Refusal,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let alone = self.alone_for()?;
        let is_for_lack = matches!(refusal.kind, ErrorKind::RateLimited | ErrorKind::NoUpstream);
        let wait = ELECTION.since(alone).min(Millis(spec.deadline.0 / 2));
        (is_for_lack && wait > Millis::ZERO).then_some(wait)
    }

    /// Tells whoever decides what became of a request.
    pub(super) fn note(
        &self,
        number: u64,
        news: News,
    ) {
        let ticket = Ticket { vm: OWN, number };
        let mut is_urgent = false;
        match news {
            News::FirstEvent => {
                if let Some(running) = self.running.borrow_mut().get_mut(&number) {
                    running.spec.has_begun = true;
                }
                self.desk.first_event(ticket);
            }
            News::Ended(outcome) => {
                let running = self.running.borrow_mut().remove(&number);
                is_urgent = running.is_none_or(|running| running.spec.job.generation.is_none());
                self.desk.ended(ticket, outcome);
            }
        }
        if !self.is_leading() {
            self.outbox.borrow_mut().push((number, news));
            let told = if is_urgent {
                &self.has_urgent_news
            } else {
                &self.has_news
            };
            told.notify_one();
        }
    }

    /// Says whether a part of the upstreams only is known.
    pub fn set_knows_part(
        &self,
        knows_part: bool,
    ) {
        self.knows_part.set(knows_part);
    }

    /// Whether this VM decides for all.
    pub fn is_leading(&self) -> bool {
        matches!(*self.mode.borrow(), Mode::Leading(_))
    }

    /// Whether the leader answers this VM.
    pub fn is_following(&self) -> bool {
        matches!(*self.mode.borrow(), Mode::Following(..))
    }

    /// Who decides for this VM now, as a word for the log.
    pub fn decider(&self) -> String {
        match &*self.mode.borrow() {
            Mode::Alone => "alone".to_owned(),
            Mode::Leading(fence) => format!("own/{fence}"),
            Mode::Following(..) => {
                let leader = self.leader();
                leader.map_or_else(String::new, |leader| {
                    format!("{}/{}", leader.vm, leader.fence)
                })
            }
        }
    }

    /// Takes the list of VMs.
    pub fn set_vms(
        &self,
        vms: BTreeMap<String, SocketAddr>,
    ) {
        self.vms.replace(vms);
        // A VM that goes leaves its part unused; only one more makes the parts smaller.
        let more = self.vms.borrow().len() as u64 > self.parts.get();
        if more && matches!(*self.mode.borrow(), Mode::Alone) {
            self.desk.set_role(false, self.part());
        }
    }

    /// The VMs that the store lists.
    pub fn vms(&self) -> BTreeMap<String, SocketAddr> {
        self.vms.borrow().clone()
    }

    /// Whether this VM follows another one's decisions and knows that an upstream takes no more work.
    fn knows_better(
        &self,
        upstream: &str,
    ) -> bool {
        self.is_following() && self.desk.has_left(upstream)
    }

    /// Notes a request that runs from now on and returns its number.
    fn note_running(
        &self,
        spec: JobSpec,
        upstream: &str,
        version: Option<u32>,
    ) -> u64 {
        let number = spec.number;
        let running = Running {
            spec: RunningSpec {
                job: spec,
                upstream: upstream.to_owned(),
                version,
                has_begun: false,
            },
            since: self.clock.now(),
        };
        self.running.borrow_mut().insert(number, running);
        number
    }

    async fn place_far(
        &self,
        link: &Rc<SchedulerLink>,
        session: u32,
        spec: &JobSpec,
    ) -> Option<Verdict> {
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
        match answer {
            Ok(Some(verdict)) => Some(verdict),
            Ok(None) => {
                self.lose_leader("session unknown");
                None
            }
            Err(e) => {
                self.lose_leader(&e.to_string());
                None
            }
        }
    }

    async fn ask(
        &self,
        mode: Mode,
        spec: &JobSpec,
    ) -> Option<Verdict> {
        match mode {
            Mode::Following(link, session) => self.place_far(&link, session, spec).await,
            // The first upstreams of all would get everything.
            Mode::Alone if self.knows_part.get() => Some(Verdict::Refused {
                refusal: Refusal::after(ErrorKind::NoUpstream, NO_UPSTREAM_YET),
                waited_for: WaitReason::NoUpstream,
            }),
            Mode::Leading(_) | Mode::Alone => self.desk.place(OWN, spec).await.ok(),
        }
    }

    fn set_mode(
        &self,
        mode: Mode,
    ) {
        if matches!(mode, Mode::Alone) {
            let now = self.clock.now();
            self.alone_since.set(self.alone_since.get().or(Some(now)));
        } else {
            self.silent_since.set(None);
            self.alone_since.set(None);
        }
        self.mode.replace(mode);
        self.mode_changed.send_modify(|count| *count += 1);
        self.bump();
    }

    fn bump(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn running_now(&self) -> Vec<RunningSpec> {
        let now = self.clock.now();
        let running = self.running.borrow();
        let aged = running.values().map(|running| {
            let mut spec = running.spec.clone();
            let age = now.since(running.since);
            spec.job.objective = spec.job.objective.since(age);
            spec.job.deadline = spec.job.deadline.since(age);
            spec
        });
        aged.collect()
    }
}

/// A question that is open. Dropped unsettled, because its caller has gone or somebody else decides by now, it takes
/// back whatever may have been reserved for it.
struct Pending<'a> {
    scheduling: &'a Rc<Scheduling>,
    number: u64,
    is_settled: Cell<bool>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_settled.get() {
            let news = News::Ended(Outcome::Abandoned);
            self.scheduling.note(self.number, news);
        }
    }
}
