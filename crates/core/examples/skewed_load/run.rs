use {
    super::load::{Counters, Load, Skew},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Epoch, Holder, Incarnation, Role, TransferId, VmId},
        rights::{
            Admission, CallerTag, Charge, FULL_SHARE, Limit, OutgoingTakeRequest, Right,
            RightsLedger, RightsSettings, TakeResponse, home_rank,
        },
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

const ACCOUNT: AccountId = AccountId(1);
/// Rate (tokens per second) and burst (tokens) of the account.
pub const LIMIT: Limit = Limit {
    rate: 10_000,
    burst: 20_000,
};
/// One-way network delay between two VMs.
const NETWORK_DELAY: Millis = Millis(1);
/// Time from a VM's death to the reissue of its rights: lease expiry plus lag of the VM list.
const REISSUE_DELAY: Millis = Millis::from_secs(15);
/// Time from admission to settlement of a request.
const RUN_DURATION: Millis = Millis(2000);
/// How long a request waits for rights from peers.
const PEER_TIMEOUT: Millis = Millis(50);
/// Simulated time in which requests arrive.
pub const ARRIVAL_SECS: u64 = 120;

#[derive(Clone, Copy, Debug)]
struct Request {
    vm: usize,
    cost: u64,
    caller: CallerTag,
    since: Millis,
    is_retry: bool,
    is_ideally_admitted: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(Request),
    OutgoingTakeRequest(OutgoingTakeRequest),
    Response(Holder, TransferId, TakeResponse),
    TimeOut(CallerTag),
    Settle(usize, Charge, u64),
    Tick,
    Die,
    Reissue,
}

/// Event-driven simulation of one load on a fleet of ledgers.
pub struct Run {
    load: Load,
    ledgers: Vec<RightsLedger>,
    events: BTreeMap<(Millis, u64), Event>,
    seq: u64,
    waiting: BTreeMap<CallerTag, Request>,
    dead: Option<usize>,
    /// Reference bucket of the whole fleet: level in millitokens and time of the last refill.
    ideal_bucket: (u64, Millis),
    rng: ChaCha8Rng,
    counters: Counters,
}

impl Run {
    /// Creates a fleet with the rights divided evenly among the account's homes.
    pub fn new(
        load: Load,
        sharing: bool,
    ) -> Self {
        let settings = RightsSettings {
            sharing,
            ..RightsSettings::default()
        };
        let holders: Vec<Holder> = (1..=load.holders).map(holder).collect();
        let mut homes = holders.clone();
        homes.sort_by_key(|&holder| home_rank(ACCOUNT, holder));
        homes.truncate(8);
        let even = homes.len() as u64;
        let grant = Right {
            account: ACCOUNT,
            rate_share: FULL_SHARE / even,
            burst_share: FULL_SHARE / even,
            tokens: LIMIT.burst_millitokens() / even,
        };
        let ledgers = holders
            .iter()
            .map(|&me| {
                let mut ledger = RightsLedger::new(me, settings);
                ledger.set_limit(ACCOUNT, LIMIT, Millis::ZERO);
                ledger.set_peers(holders.iter().copied());
                ledger.enter_epoch(Epoch(1), Millis::ZERO);
                if homes.contains(&me) {
                    ledger.apply_grants(Epoch(1), &[grant], Millis::ZERO);
                }
                ledger
            })
            .collect();
        Self {
            load,
            ledgers,
            events: BTreeMap::new(),
            seq: 0,
            waiting: BTreeMap::new(),
            dead: None,
            ideal_bucket: (LIMIT.burst_millitokens(), Millis::ZERO),
            rng: ChaCha8Rng::seed_from_u64(7),
            counters: Counters::default(),
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Counters {
        self.schedule_arrivals();
        self.schedule(Millis(250), Event::Tick);
        if self.load.vm_dies {
            self.schedule(Millis::from_secs(ARRIVAL_SECS / 2 + 5), Event::Die);
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                _ if now > Millis::from_secs(ARRIVAL_SECS + 10) => break,
                Event::Arrive(request) => self.arrive(request, now),
                Event::OutgoingTakeRequest(req) => self.on_request(&req, now),
                Event::Response(to, transfer, resp) => self.on_response(to, transfer, &resp, now),
                Event::TimeOut(caller) => self.time_out(caller, now),
                Event::Settle(vm, charge, actual) => self.ledgers[vm].settle(charge, actual, now),
                Event::Tick => self.tick(now),
                Event::Die => self.die(now),
                Event::Reissue => self.reissue(now),
            }
        }
        self.counters
    }

    /// Schedules requests of 50 to 950 tokens with exponential gaps.
    fn schedule_arrivals(&mut self) {
        let (mut at, mut caller) = (0.0, 0);
        while at < (ARRIVAL_SECS * 1000) as f64 {
            let is_peak = at as u64 % 20_000 < 4000;
            let percent = if is_peak {
                self.load.peak_percent
            } else {
                self.load.base_percent
            };
            let mean_gap = 500.0 * 1000.0 / (LIMIT.rate * percent / 100) as f64;
            at += -self.rng.random::<f64>().max(1e-9).ln() * mean_gap;
            let now = Millis(at as u64);
            let any = self.rng.random_range(0..self.load.holders as usize);
            let vm = self.hot_vm(now).unwrap_or(any);
            caller += 1;
            let request = Request {
                vm,
                cost: self.rng.random_range(50..=950),
                caller: CallerTag(caller),
                since: now,
                is_retry: false,
                is_ideally_admitted: false,
            };
            self.schedule(now, Event::Arrive(request));
        }
    }

    fn arrive(
        &mut self,
        mut request: Request,
        now: Millis,
    ) {
        request.since = now;
        if self.dead == Some(request.vm) {
            request.vm = (request.vm + 1) % self.ledgers.len();
        }
        request.is_ideally_admitted = self.ideal_bucket_admits(request.cost, now);
        if request.is_retry {
            self.counters.retries += 1;
        } else {
            self.counters.requests += 1;
        }
        if !self.attempt(&request, now) {
            self.counters.waited += 1;
            self.waiting.insert(request.caller, request);
            self.schedule(now + PEER_TIMEOUT, Event::TimeOut(request.caller));
        }
    }

    /// Tries to admit a request; returns false if it has to wait for rights from peers.
    fn attempt(
        &mut self,
        request: &Request,
        now: Millis,
    ) -> bool {
        let ledger = &mut self.ledgers[request.vm];
        match ledger.try_admit(ACCOUNT, request.cost, request.caller, now) {
            Admission::Admitted(charge) => {
                self.counters.admitted_tokens += request.cost;
                self.counters.retries_served += u64::from(request.is_retry);
                let used = self.rng.random_range(self.load.min_used_percent..=100);
                let actual = request.cost * used / 100;
                self.schedule(
                    now + RUN_DURATION,
                    Event::Settle(request.vm, charge, actual),
                );
                true
            }
            Admission::Refused(refusal) => {
                self.refuse(request, refusal.retry_after_secs(), now);
                true
            }
            Admission::NeedsRights { shortfall } => {
                for req in ledger.create_take_requests(ACCOUNT, shortfall, now) {
                    self.send(Event::OutgoingTakeRequest(req), now);
                }
                false
            }
        }
    }

    fn refuse(
        &mut self,
        request: &Request,
        retry_secs: Option<u64>,
        now: Millis,
    ) {
        if request.is_retry {
            return;
        }
        self.counters.refused += 1;
        self.counters.wrongful += u64::from(request.is_ideally_admitted);
        if let (true, Some(secs)) = (self.load.retries_once, retry_secs) {
            let any = self.rng.random_range(0..self.ledgers.len());
            let vm = if self.load.retries_at_same_vm {
                request.vm
            } else {
                any
            };
            let again = Request {
                vm,
                is_retry: true,
                ..*request
            };
            let spread = self.rng.random_range(0..200);
            self.schedule(now + Millis(secs * 1000 + spread), Event::Arrive(again));
        }
    }

    fn on_request(
        &mut self,
        req: &OutgoingTakeRequest,
        now: Millis,
    ) {
        if self.dead == Some(index(req.to)) {
            return;
        }
        let resp = self.ledgers[index(req.to)].handle_take_request(&req.request, now);
        let event = Event::Response(req.request.from, req.request.transfer, resp);
        self.send(event, now);
    }

    fn on_response(
        &mut self,
        to: Holder,
        transfer: TransferId,
        resp: &TakeResponse,
        now: Millis,
    ) {
        let vm = index(to);
        if self.dead == Some(vm) {
            return;
        }
        self.ledgers[vm].handle_take_response(transfer, resp, now);
        let waiting: Vec<Request> = self
            .waiting
            .values()
            .copied()
            .filter(|w| w.vm == vm)
            .collect();
        for request in waiting {
            if self.attempt(&request, now) {
                self.waiting.remove(&request.caller);
            }
        }
    }

    fn time_out(
        &mut self,
        caller: CallerTag,
        now: Millis,
    ) {
        if let Some(request) = self.waiting.remove(&caller) {
            let ledger = &mut self.ledgers[request.vm];
            let refusal = ledger.refuse_with_retry(ACCOUNT, request.cost, caller, now);
            self.refuse(&request, refusal.retry_after_secs(), now);
        }
    }

    fn tick(
        &mut self,
        now: Millis,
    ) {
        for vm in 0..self.ledgers.len() {
            let mut requests = self.ledgers[vm].prefetch(now);
            requests.extend(self.ledgers[vm].due_resends(now));
            for req in requests {
                self.send(Event::OutgoingTakeRequest(req), now);
            }
        }
        self.schedule(now + Millis(250), Event::Tick);
    }

    fn die(
        &mut self,
        now: Millis,
    ) {
        let vm = self.hot_vm(now).unwrap_or(0);
        self.dead = Some(vm);
        self.waiting.retain(|_, request| request.vm != vm);
        self.schedule(now + REISSUE_DELAY, Event::Reissue);
    }

    /// Starts the next epoch without the dead VM and divides its rights evenly among the others.
    fn reissue(
        &mut self,
        now: Millis,
    ) {
        let dead = self.dead;
        let alive: Vec<usize> = (0..self.ledgers.len())
            .filter(|&vm| Some(vm) != dead)
            .collect();
        let (mut rate, mut burst) = (0, 0);
        for &vm in &alive {
            let ledger = &mut self.ledgers[vm];
            ledger.set_peers(alive.iter().map(|&vm| holder(vm as u32 + 1)));
            for right in ledger.enter_epoch(Epoch(2), now).unwrap_or_default() {
                rate += right.rate_share;
                burst += right.burst_share;
            }
        }
        let even = alive.len() as u64;
        let grant = Right {
            account: ACCOUNT,
            rate_share: (FULL_SHARE - rate) / even,
            burst_share: (FULL_SHARE - burst) / even,
            tokens: 0,
        };
        for vm in alive {
            self.ledgers[vm].apply_grants(Epoch(2), &[grant], now);
        }
    }

    fn hot_vm(
        &self,
        now: Millis,
    ) -> Option<usize> {
        match self.load.skew {
            Skew::Even => None,
            Skew::Moving(every) => Some((now.0 / every.0 * 3) as usize % self.ledgers.len()),
        }
    }

    fn send(
        &mut self,
        event: Event,
        now: Millis,
    ) {
        self.counters.messages += 1;
        self.schedule(now + NETWORK_DELAY, event);
    }

    fn schedule(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn ideal_bucket_admits(
        &mut self,
        cost: u64,
        now: Millis,
    ) -> bool {
        let (level, at) = self.ideal_bucket;
        let level = (level + now.since(at).0 * LIMIT.rate).min(LIMIT.burst_millitokens());
        let is_admitted = level >= cost * 1000;
        self.ideal_bucket = (
            if is_admitted {
                level - cost * 1000
            } else {
                level
            },
            now,
        );
        is_admitted
    }
}

fn holder(vm: u32) -> Holder {
    Holder {
        vm: VmId(vm),
        role: Role::Gateway,
        incarnation: Incarnation(1),
    }
}

fn index(holder: Holder) -> usize {
    holder.vm.0 as usize - 1
}
