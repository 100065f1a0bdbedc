use {
    super::load::{Figures, Load, Skew},
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
/// The account's limit.
pub const LIMIT: Limit = Limit {
    rate: 10_000,
    burst: 20_000,
};
/// One way between two VMs.
const LINK: Millis = Millis(1);
/// How long it takes until a VM's death is proved: its lease, and the list's lag.
const PROOF: Millis = Millis::from_secs(15);
/// How long a request runs before its charge is settled.
const RUN_TIME: Millis = Millis(2000);
/// How long a request waits for the answers of peers.
const PATIENCE: Millis = Millis(50);
/// For how long requests come.
pub const SECONDS: u64 = 120;

#[derive(Clone, Copy, Debug)]
struct Request {
    vm: usize,
    cost: u64,
    caller: CallerTag,
    since: Millis,
    returned: bool,
    ideal: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(Request),
    OutgoingTakeRequest(OutgoingTakeRequest),
    Answer(Holder, TransferId, TakeResponse),
    GiveUp(CallerTag),
    Settle(usize, Charge, u64),
    Tick,
    Die,
    Reissue,
}

/// One load on a fleet of ledgers.
pub struct Run {
    load: Load,
    ledgers: Vec<RightsLedger>,
    events: BTreeMap<(Millis, u64), Event>,
    seq: u64,
    waiting: BTreeMap<CallerTag, Request>,
    dead: Option<usize>,
    /// The bucket of the whole fleet, in thousandths, and when it was filled.
    ideal: (u64, Millis),
    rng: ChaCha8Rng,
    figures: Figures,
}

impl Run {
    /// A fleet whose rights are divided among the account's homes.
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
            ideal: (LIMIT.burst_millitokens(), Millis::ZERO),
            rng: ChaCha8Rng::seed_from_u64(7),
            figures: Figures::default(),
        }
    }

    /// Runs the load to its end.
    pub fn run(mut self) -> Figures {
        self.arrivals();
        self.at(Millis(250), Event::Tick);
        if self.load.dies {
            self.at(Millis::from_secs(SECONDS / 2 + 5), Event::Die);
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                _ if now > Millis::from_secs(SECONDS + 10) => break,
                Event::Arrive(request) => self.arrive(request, now),
                Event::OutgoingTakeRequest(ask) => self.ask(&ask, now),
                Event::Answer(to, transfer, given) => self.answer(to, transfer, &given, now),
                Event::GiveUp(caller) => self.give_up(caller, now),
                Event::Settle(vm, charge, actual) => self.ledgers[vm].settle(charge, actual, now),
                Event::Tick => self.tick(now),
                Event::Die => self.die(now),
                Event::Reissue => self.reissue(now),
            }
        }
        self.figures
    }

    /// Requests of 50 to 950 tokens at exponential distances.
    fn arrivals(&mut self) {
        let (mut at, mut caller) = (0.0, 0);
        while at < (SECONDS * 1000) as f64 {
            let is_peak = at as u64 % 20_000 < 4000;
            let percent = if is_peak {
                self.load.peak
            } else {
                self.load.percent
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
                returned: false,
                ideal: false,
            };
            self.at(now, Event::Arrive(request));
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
        request.ideal = self.ideal_takes(request.cost, now);
        if request.returned {
            self.figures.returned += 1;
        } else {
            self.figures.requests += 1;
        }
        if !self.attempt(&request, now) {
            self.figures.asked += 1;
            self.waiting.insert(request.caller, request);
            self.at(now + PATIENCE, Event::GiveUp(request.caller));
        }
    }

    /// Tries once; whether that was final.
    fn attempt(
        &mut self,
        request: &Request,
        now: Millis,
    ) -> bool {
        let ledger = &mut self.ledgers[request.vm];
        match ledger.try_admit(ACCOUNT, request.cost, request.caller, now) {
            Admission::Admitted(charge) => {
                self.figures.admitted_tokens += request.cost;
                self.figures.served_on_return += u64::from(request.returned);
                let used = self.rng.random_range(self.load.least_used..=100);
                let actual = request.cost * used / 100;
                self.at(now + RUN_TIME, Event::Settle(request.vm, charge, actual));
                true
            }
            Admission::Refused(refusal) => {
                self.refuse(request, refusal.retry_after_secs(), now);
                true
            }
            Admission::NeedsRights { shortfall } => {
                for ask in ledger.create_take_requests(ACCOUNT, shortfall, now) {
                    self.send(Event::OutgoingTakeRequest(ask), now);
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
        if request.returned {
            return;
        }
        self.figures.refused += 1;
        self.figures.wrongful += u64::from(request.ideal);
        if let (true, Some(secs)) = (self.load.return_once, retry_secs) {
            let any = self.rng.random_range(0..self.ledgers.len());
            let vm = if self.load.same_vm { request.vm } else { any };
            let again = Request {
                vm,
                returned: true,
                ..*request
            };
            let spread = self.rng.random_range(0..200);
            self.at(now + Millis(secs * 1000 + spread), Event::Arrive(again));
        }
    }

    fn ask(
        &mut self,
        ask: &OutgoingTakeRequest,
        now: Millis,
    ) {
        if self.dead == Some(index(ask.to)) {
            return;
        }
        let given = self.ledgers[index(ask.to)].handle_take_request(&ask.request, now);
        let answer = Event::Answer(ask.request.from, ask.request.transfer, given);
        self.send(answer, now);
    }

    fn answer(
        &mut self,
        to: Holder,
        transfer: TransferId,
        given: &TakeResponse,
        now: Millis,
    ) {
        let vm = index(to);
        if self.dead == Some(vm) {
            return;
        }
        self.ledgers[vm].handle_take_response(transfer, given, now);
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

    fn give_up(
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
            let mut asks = self.ledgers[vm].prefetch(now);
            asks.extend(self.ledgers[vm].due_resends(now));
            for ask in asks {
                self.send(Event::OutgoingTakeRequest(ask), now);
            }
        }
        self.at(now + Millis(250), Event::Tick);
    }

    fn die(
        &mut self,
        now: Millis,
    ) {
        let vm = self.hot_vm(now).unwrap_or(0);
        self.dead = Some(vm);
        self.waiting.retain(|_, request| request.vm != vm);
        self.at(now + PROOF, Event::Reissue);
    }

    /// The next epoch, without the dead VM: what the others don't report is granted to them evenly.
    fn reissue(
        &mut self,
        now: Millis,
    ) {
        let dead = self.dead;
        let alive: Vec<usize> = (0..self.ledgers.len())
            .filter(|&vm| Some(vm) != dead)
            .collect();
        let (mut rate, mut room) = (0, 0);
        for &vm in &alive {
            let ledger = &mut self.ledgers[vm];
            ledger.set_peers(alive.iter().map(|&vm| holder(vm as u32 + 1)));
            for right in ledger.enter_epoch(Epoch(2), now).unwrap_or_default() {
                rate += right.rate_share;
                room += right.burst_share;
            }
        }
        let even = alive.len() as u64;
        let grant = Right {
            account: ACCOUNT,
            rate_share: (FULL_SHARE - rate) / even,
            burst_share: (FULL_SHARE - room) / even,
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
        self.figures.messages += 1;
        self.at(now + LINK, event);
    }

    fn at(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn ideal_takes(
        &mut self,
        cost: u64,
        now: Millis,
    ) -> bool {
        let (level, at) = self.ideal;
        let level = (level + now.since(at).0 * LIMIT.rate).min(LIMIT.burst_millitokens());
        let takes = level >= cost * 1000;
        self.ideal = (if takes { level - cost * 1000 } else { level }, now);
        takes
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
