//! Tests of the fair queue: the scripts in `scripts/fair_queue`, and random event sequences.
//!
//! For a long run: `JASMINE_ORDERS=100000 cargo test --release -p jasmine-core --test
//! fair_queue`.

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{Driver, Options, Rng},
    },
    goldenscript::{Command, Context, Runner},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, ModelId, RequestId, ServiceId},
        queue::{
            AccountShare, FairQueue, Pools, Priority, QueueSettings, QueueTarget, QueuedRequest,
        },
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, error::Error, fmt::Write as _},
};

/// Default number of event sequences.
const ORDERS: u64 = 500;
const EVENTS: usize = 300;
/// Requests of a long queue.
const SCANNED: u64 = 600;

#[test]
fn queue_scripts() {
    for entry in std::fs::read_dir("tests/scripts/fair_queue").expect("scripts") {
        let path = entry.expect("a script").path();
        goldenscript::run(&mut Script::default(), path).expect("a script that runs");
    }
}

/// Runs script commands on a queue.
struct Script {
    queue: FairQueue,
    now: Millis,
    next: u64,
    /// Base models without free engine capacity.
    busy: Vec<u32>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(QueueSettings::default()),
            now: Millis(1000),
            next: 1,
            busy: Vec::new(),
        }
    }
}

impl Script {
    fn push(
        &mut self,
        account: u32,
        priority: Priority,
        cost: u64,
        within: u64,
        target: QueueTarget,
    ) -> String {
        let waiting = QueuedRequest {
            request: RequestId(self.next),
            account: AccountId(account),
            priority,
            cost,
            deadline: self.now + Millis(within),
            target,
        };
        self.next += 1;
        match self.queue.push(waiting, self.now) {
            Ok(queued) => format!("{} waits, for {} ms", waiting.request, queued.expected_wait),
            Err(refusal) => format!("{:?} {:?}", refusal.kind, refusal.retry_after),
        }
    }

    fn pop(
        &mut self,
        most: usize,
    ) -> String {
        let mut out = String::new();
        let busy = &self.busy;
        for _ in 0..most {
            let popped = self.queue.pop(self.now, |waiting| match waiting.target {
                QueueTarget::Base(model) => !busy.contains(&model.0),
                _ => true,
            });
            match popped {
                Some(waiting) => {
                    let QueuedRequest {
                        request,
                        account,
                        priority,
                        ..
                    } = waiting;
                    let _ = writeln!(out, "{request} of account {account}, {priority}");
                }
                None => return out + "nothing can run\n",
            }
        }
        out
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _context: &Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut number = |name: &str, default: u64| -> Result<u64, Box<dyn Error>> {
            Ok(args
                .take_key(name)
                .map(str::parse)
                .transpose()?
                .unwrap_or(default))
        };
        let (account, cost) = (number("account", 1)? as u32, number("cost", 10)?);
        let (within, times) = (number("within", 30_000)?, number("times", 1)?);
        let (model, weight) = (number("model", 1)? as u32, number("weight", 1)? as u32);
        let (service, most) = (number("service", 0)? as u32, number("max", 1000)? as usize);
        let priority = match args.take_key("priority") {
            Some("high") => Priority::High,
            Some("low") => Priority::Low,
            _ => Priority::Normal,
        };
        args.reject_next()?;
        let target = match service {
            0 => QueueTarget::Base(ModelId(model)),
            service => QueueTarget::Service(ServiceId(service)),
        };
        let mut out = String::new();
        match command.name.as_str() {
            "share" => {
                let share = AccountShare {
                    weight,
                    max_queued: most,
                };
                self.queue.set_share(AccountId(account), share);
            }
            "push" => {
                for _ in 0..times {
                    out = self.push(account, priority, cost, within, target);
                }
            }
            "advance" => self.now += Millis(times),
            "pop" => out = self.pop(times as usize),
            "serve" => {
                // One at a time, so that the queue measures its service rate.
                for _ in 0..times {
                    self.now += Millis(100);
                    out += &self.pop(1);
                }
            }
            "busy" => self.busy = vec![model],
            "free" => self.busy.clear(),
            "settle" => self.queue.settle(AccountId(account), cost, within),
            "expire" => {
                let expired = self.queue.expire(self.now);
                let requests: Vec<String> = expired
                    .iter()
                    .map(|waiting| waiting.request.to_string())
                    .collect();
                out = format!("given up: [{}]", requests.join(", "));
            }
            "cancel" => {
                let cancelled = self.queue.cancel(RequestId(times), self.now);
                out += cancelled.map_or("not waiting", |_| "cancelled");
            }
            other => return Err(format!("no command {other}").into()),
        }
        Ok(out)
    }
}

/// An event in a generated sequence.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Event {
    Push {
        #[generator(0..4)]
        account: u32,
        #[generator(0..3)]
        class: u8,
        #[generator(1..500)]
        cost: u64,
        #[generator(0..8000)]
        within: u64,
        #[generator(0..3)]
        model: u32,
    },
    PushMany(#[generator(0..4)] u32, #[generator(1..20)] u8),
    Pop,
    PopMany(#[generator(1..10)] u8),
    Cancel(u8),
    Advance(#[generator(0..300)] u64),
    Expire,
    Busy(#[generator(0..4)] u32),
    Settle(#[generator(0..4)] u32, #[generator(0..500)] u64),
}

/// Reference model that checks the queue after each event.
struct Model {
    queue: FairQueue,
    now: Millis,
    next: u64,
    busy: u32,
    waiting: BTreeMap<RequestId, (QueuedRequest, Millis)>,
    accepted: usize,
    removed: usize,
}

const PRIORITY_DELAY: [Millis; 3] = [Millis(0), Millis(1000), Millis(5000)];
const MAX_QUEUED: usize = 40;

impl Model {
    fn new() -> Self {
        let mut queue = FairQueue::new(QueueSettings::default());
        for account in 0..4 {
            let share = AccountShare {
                weight: account + 1,
                max_queued: MAX_QUEUED,
            };
            queue.set_share(AccountId(account), share);
        }
        Self {
            queue,
            now: Millis(0),
            next: 0,
            busy: 3,
            waiting: BTreeMap::new(),
            accepted: 0,
            removed: 0,
        }
    }

    fn apply(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Push {
                account,
                class,
                cost,
                within,
                model,
            } => {
                self.push(account, class, cost, within, model);
            }
            Event::PushMany(account, times) => {
                (0..times).for_each(|_| self.push(account, 1, 100, 8000, 0));
            }
            Event::Pop => self.pop(),
            Event::PopMany(times) => (0..times).for_each(|_| self.pop()),
            Event::Cancel(nth) => {
                let request = self.waiting.keys().nth(usize::from(nth)).copied();
                if let Some(request) = request {
                    let cancelled = self.queue.cancel(request, self.now);
                    assert!(cancelled.is_some(), "{request} waits");
                    self.remove(request);
                }
            }
            Event::Advance(by) => self.now += Millis(by),
            Event::Expire => {
                for expired in self.queue.expire(self.now) {
                    self.remove(expired.request);
                }
                let late = self.waiting.values().find(|(w, _)| w.deadline <= self.now);
                assert!(late.is_none(), "still queued after its deadline: {late:?}");
            }
            Event::Busy(model) => self.busy = model,
            Event::Settle(account, actual) => {
                self.queue.settle(AccountId(account), 250, actual);
            }
        }
        assert_eq!(self.queue.len(), self.waiting.len());
        assert_eq!(self.accepted, self.removed + self.waiting.len());
    }

    fn push(
        &mut self,
        account: u32,
        class: u8,
        cost: u64,
        within: u64,
        model: u32,
    ) {
        let priority = [Priority::High, Priority::Normal, Priority::Low][usize::from(class)];
        let waiting = QueuedRequest {
            request: RequestId(self.next),
            account: AccountId(account),
            priority,
            cost,
            deadline: self.now + Millis(within),
            target: QueueTarget::Base(ModelId(model)),
        };
        self.next += 1;
        let before = self.queue.account_len(waiting.account);
        match self.queue.push(waiting, self.now) {
            Ok(queued) => {
                assert!(before < MAX_QUEUED, "the account's queue limit is exceeded");
                assert!(queued.expected_wait < Millis(within));
                self.waiting.insert(waiting.request, (waiting, self.now));
                self.accepted += 1;
            }
            Err(refusal) => assert!(refusal.retry_after.is_some(), "{refusal:?}"),
        }
    }

    fn pop(&mut self) {
        let busy = self.busy;
        let can_run = |waiting: &QueuedRequest| waiting.target != QueueTarget::Base(ModelId(busy));
        let position = |&(waiting, at): &(QueuedRequest, Millis)| {
            (
                at + PRIORITY_DELAY[waiting.priority as usize],
                waiting.request,
            )
        };
        match self.queue.pop(self.now, can_run) {
            Some(popped) => {
                let own = position(&self.waiting[&popped.request]);
                let overtaken = self.waiting.values().find(|other| {
                    other.0.account == popped.account && can_run(&other.0) && position(other) < own
                });
                assert!(overtaken.is_none(), "{popped:?} overtook {overtaken:?}");
                self.remove(popped.request);
            }
            None => assert!(self.waiting.values().all(|(waiting, _)| !can_run(waiting))),
        }
    }

    fn remove(
        &mut self,
        request: RequestId,
    ) {
        assert!(
            self.waiting.remove(&request).is_some(),
            "{request} was removed twice"
        );
        self.removed += 1;
    }
}

#[test]
fn random_events_keep_queue_order() {
    let orders = std::env::var("JASMINE_ORDERS")
        .ok()
        .and_then(|number| number.parse().ok());
    for seed in 0..orders.unwrap_or(ORDERS) {
        println!("seed {seed}");
        let options = Options::default().with_max_len(1 << 20);
        let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &options);
        let mut model = Model::new();
        for _ in 0..EVENTS {
            let event: Event = driver.produce().expect("enough bytes");
            model.apply(event);
        }
    }
}

/// Guards against passes over a long queue whose cost grows with what they send.
#[test]
fn a_scan_looks_at_each_request_once() {
    let mut scanned = FairQueue::new(QueueSettings::default());
    for number in 0..SCANNED {
        let waiting = QueuedRequest {
            request: RequestId(number),
            account: AccountId(number as u32 % 7),
            priority: Priority::Normal,
            cost: 100 + number * 37 % 400,
            deadline: Millis(20_000),
            target: QueueTarget::Base(ModelId(number as u32)),
        };
        scanned.push(waiting, Millis(1_000 + number)).unwrap();
    }
    let mut rescanned = scanned.clone();
    let can_run = |waiting: &QueuedRequest| waiting.request.0.is_multiple_of(3);
    let (mut looks, now) = (0, Millis(2_000));
    scanned.rewind();
    for _ in 0..=SCANNED / 3 {
        let looked_at = |waiting: &QueuedRequest| {
            looks += 1;
            can_run(waiting)
        };
        let popped = scanned.pop_next(now, Pools::Engines, looked_at);
        assert_eq!(popped, rescanned.pop(now, can_run));
    }
    assert_eq!(looks, SCANNED);
    let left = SCANNED - SCANNED.div_ceil(3);
    assert_eq!(scanned.len() as u64, left);
    let mut services = 0;
    scanned.rewind();
    scanned.pop_next(now, Pools::Services, |_| {
        services += 1;
        false
    });
    assert_eq!(services, 0, "engines' requests in a scan of plain services");
}

/// Guards against requests for an engine that overtake those of plain services, or the other way round.
#[test]
fn pools_are_served_in_order() {
    let mut queue = FairQueue::new(QueueSettings::default());
    for number in 0..SCANNED {
        let target = match number % 5 {
            0 | 3 => QueueTarget::Service(ServiceId(number as u32 % 4)),
            _ => QueueTarget::Base(ModelId(number as u32)),
        };
        let waiting = QueuedRequest {
            request: RequestId(number),
            account: AccountId(1),
            priority: Priority::Normal,
            cost: 100,
            deadline: Millis(20_000),
            target,
        };
        queue.push(waiting, Millis(1_000 + number)).unwrap();
    }
    let popped = std::iter::from_fn(|| queue.pop(Millis(2_000), |_| true));
    let requests: Vec<_> = popped.map(|waiting| waiting.request.0).collect();
    assert_eq!(requests, (0..SCANNED).collect::<Vec<_>>());
}

/// Guards against an account that sends more requests getting more than its weighted share.
/// Four accounts of weights 1 to 4 are always backlogged, one with far more requests.
#[test]
fn accounts_are_served_by_weight() {
    let mut model = Model::new();
    let mut served = [0_u64; 4];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for round in 0..4000 {
        for account in 0..4 {
            let cost = rand::Rng::random_range(&mut rng, 1..200);
            model.push(account, 1, cost, 1_000_000, 0);
        }
        for _ in 0..20 {
            model.push(0, 0, 300, 1_000_000, 0);
        }
        let popped = model
            .queue
            .pop(model.now, |_| true)
            .expect("something waits");
        model.waiting.remove(&popped.request);
        model.now += Millis(1);
        if round >= 200 {
            served[popped.account.0 as usize] += popped.cost;
        }
    }
    let parts: Vec<f64> = (0..4).map(|n| served[n] as f64 / (n + 1) as f64).collect();
    let most = parts.iter().copied().fold(f64::MIN, f64::max);
    let least = parts.iter().copied().fold(f64::MAX, f64::min);
    assert!(most / least < 1.05, "served by weight: {parts:?}");
}
