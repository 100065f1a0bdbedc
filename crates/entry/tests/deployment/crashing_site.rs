//! VMs before engines that several parts of prompts crash, while those who know the parts are lost.

use {
    super::{
        Request, Vm, config, exchange,
        part_arrivals::{CONTACT, PartArrivals},
        route, start_platform, wait_until,
    },
    jasmine_platform_stand_in::{
        EngineEnd, EngineStandIn, KvStandIn, Outage, PromptArrival, Silence, SilentAt,
        UpstreamStandIn,
    },
    jasmine_testkit::proxy::{Fault, Proxy},
    nix::sys::signal::Signal,
    rand::{
        Rng, SeedableRng,
        distr::{Distribution, weighted::WeightedIndex},
    },
    rand_chacha::ChaCha8Rng,
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt::{Display, Write as _},
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 9;
/// Time between two events of an answer.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// How long a leader is suspended.
const SUSPENSION: Duration = Duration::from_millis(2_500);
/// How long the store has a fault, or a VM doesn't reach it.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// How long engines are silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time between two ends of engines that no prompt causes.
const OWN_END_INTERVAL: Duration = Duration::from_secs(3);
/// Loads of adapters a second that the weight store allows.
const ADAPTER_LOADS_PER_S: f64 = 50.0;
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Most attempts of a route.
const MAX_ATTEMPTS: usize = 2;
/// Callers at a VM at most.
const MAX_CALLERS: usize = 100;
/// The first part of prompts, unless each crashing part has one of its own.
const FIRST: &str = "f1";
/// Prefix of what the store keeps of refused parts.
const QUARANTINE_PREFIX: &str = "jasmine/quarantine/";
const LEADER_KEY: &str = "jasmine/scheduler";

static NEXT_PART: AtomicU32 = AtomicU32::new(0x1_0000);

/// What is lost while callers send prompts with crashing parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    Nothing,
    /// The leader is killed.
    Leader,
    /// It is stopped as planned, and started again.
    LeaderStopped,
    /// It is suspended for [`SUSPENSION`].
    LeaderSuspended,
    /// Two VMs are suspended for as long, and after that the next two.
    TwoVmsSuspended,
    /// Half of the VMs are suspended for as long.
    HalfOfVmsSuspended,
    /// One VM after the other is killed.
    OneVm,
    /// Half of the VMs are killed at once, and then the other half.
    HalfOfVms,
    /// All VMs are killed at once.
    AllVms,
    /// All VMs are stopped as planned, and started again.
    AllVmsStopped,
    /// The store has this fault for [`OUTAGE`].
    Store(Outage),
    /// One VM after the other reaches the store no more for [`OUTAGE`], and the other way round.
    OneVmCutOff,
    /// All engines are silent before their answers for [`SILENCE`].
    SilentEngines,
    /// The store is away until all VMs are killed.
    StoreAndAllVms,
    /// The store is away most of the time, and one VM is killed.
    StoreAndOneVm,
}

impl Loss {
    /// A name for VMs and logs.
    pub fn name(self) -> String {
        let name = format!("{self:?}").to_lowercase();
        name.replace(|c: char| !c.is_ascii_alphanumeric(), "")
    }
}

/// The crashing parts of the prompts of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prompts {
    /// One crashing part in each, after the first part of sound prompts.
    Shared(usize),
    /// One crashing part in each, after a first part of its own.
    Separate(usize),
    /// Two crashing parts in each, and after half of the time each of the two alone.
    Pairs(usize),
}

impl Prompts {
    const fn count(self) -> usize {
        match self {
            Self::Shared(count) | Self::Separate(count) | Self::Pairs(count) => count,
        }
    }

    /// The shared parts of a prompt with a crashing part.
    fn parts(
        self,
        number: usize,
        is_late: bool,
    ) -> Vec<String> {
        let first = FIRST.to_owned();
        match self {
            Self::Shared(_) => vec![first, bad_part(number)],
            Self::Separate(_) => vec![format!("f1{number}"), bad_part(number)],
            Self::Pairs(_) if is_late => vec![first, bad_part(number)],
            Self::Pairs(count) => vec![first, bad_part(number), bad_part((number + 1) % count)],
        }
    }
}

/// A run: which prompts crash engines, how often they come, and what is lost how often meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    pub prompts: Prompts,
    /// Pause of a caller of crashing prompts between two requests.
    pub interval: Duration,
    pub loss: Loss,
    pub losses: usize,
    /// Time before each loss.
    pub loss_interval: Duration,
    pub time: Duration,
    pub vms: usize,
    /// Until when the crashing parts are sound.
    pub sound_for: Duration,
    /// Adapters, of which each prompt has one; none if it is zero.
    pub adapters: usize,
    /// Exponent of their Zipf distribution; zero for an even one.
    pub adapter_skew: f64,
    /// Sound parts, of which each sound prompt has one after the first part.
    pub subjects: usize,
    /// Pause of a caller of sound prompts between two requests.
    pub sound_interval: Duration,
    /// How engines end under the crashing parts.
    pub end: EngineEnd,
    /// Time that prompts wait in the queues of engines.
    pub queue_time: Duration,
    /// Time from a request to its caller's deadline.
    pub deadline: Duration,
    /// Whether each second request may go on at another engine.
    pub resumes: bool,
    /// Whether engines end by themselves, too, one each [`OWN_END_INTERVAL`].
    pub has_own_ends: bool,
}

impl Storm {
    /// A storm in which eight parts come every 100 ms for twenty seconds, and nothing is lost.
    pub const fn of_eight() -> Self {
        Self {
            prompts: Prompts::Shared(8),
            interval: Duration::from_millis(100),
            loss: Loss::Nothing,
            losses: 5,
            loss_interval: Duration::from_millis(2_500),
            time: Duration::from_secs(20),
            vms: 3,
            sound_for: Duration::ZERO,
            adapters: 0,
            adapter_skew: 0.0,
            subjects: 1,
            sound_interval: Duration::from_millis(40),
            end: EngineEnd::Reset,
            queue_time: Duration::ZERO,
            deadline: Duration::from_millis(1_500),
            resumes: false,
            has_own_ends: false,
        }
    }

    /// A storm of the size of a site: seven VMs, 3,000 adapters of which few are popular, 68 parts of which so many end
    /// engines, and 100 ms in the queue of an engine.
    pub const fn of_site(
        parts: usize,
        end: EngineEnd,
    ) -> Self {
        Self {
            prompts: Prompts::Shared(parts),
            interval: Duration::from_secs(5),
            loss_interval: Duration::from_secs(4),
            losses: 4,
            time: Duration::from_secs(26),
            vms: 7,
            adapters: 3_000,
            adapter_skew: 1.2,
            subjects: 68 - parts,
            sound_interval: Duration::from_millis(450),
            end,
            queue_time: Duration::from_millis(100),
            deadline: Duration::from_secs(4),
            resumes: true,
            ..Self::of_eight()
        }
    }

    /// A storm in which six of 104 parts crash engines, at eight VMs, and each prompt has one of 3,000 adapters, any of them as often.
    pub const fn of_adapters() -> Self {
        Self {
            prompts: Prompts::Shared(6),
            interval: Duration::from_millis(4_800),
            loss_interval: Duration::from_secs(6),
            losses: 3,
            time: Duration::from_secs(28),
            vms: 8,
            adapters: 3_000,
            subjects: 98,
            sound_interval: Duration::from_millis(320),
            ..Self::of_eight()
        }
    }

    fn adapter_distribution(&self) -> Option<WeightedIndex<f64>> {
        let weights = (1..=self.adapters).map(|rank| (rank as f64).powf(-self.adapter_skew));
        WeightedIndex::new(weights).ok()
    }
}

/// What a run showed of a crashing part.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartCounts {
    pub crashes: usize,
    /// Requests with it that reached engines too late.
    pub late: usize,
    /// Those of them that were sent by VMs in touch: running for a while, and the store not away since.
    pub late_in_touch: usize,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub parts: BTreeMap<String, PartCounts>,
    /// Sound prompts that were served, and all that were answered.
    pub sound: (usize, usize),
    /// What the store holds of refused parts.
    pub refused: BTreeSet<String>,
    /// What engines met of each request beside its prompt.
    pub repeats: Repeats,
}

/// Requests that reached engines more than once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Repeats {
    /// Most arrivals beyond the first of each request within [`BUDGET_WINDOW`].
    pub in_window: usize,
    /// Requests that arrived more often than any route has attempts.
    pub beyond_attempts: usize,
    /// Arrivals that were given more time than their callers have.
    pub with_too_much_time: usize,
}

impl Outcome {
    /// The most requests with one part that reached engines too late.
    pub fn late(&self) -> usize {
        let late = self.parts.values().map(|one| one.late);
        late.max().unwrap_or_default()
    }

    /// The same of those that VMs in touch sent.
    pub fn late_in_touch(&self) -> usize {
        let late = self.parts.values().map(|one| one.late_in_touch);
        late.max().unwrap_or_default()
    }

    /// The share of sound prompts that were served.
    pub fn served(&self) -> f64 {
        let (served, answered) = self.sound;
        served as f64 / answered.max(1) as f64
    }
}

/// A caller's view of the VMs: where each one listens now.
type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Which VM a request was sent to, by its id.
type Senders = Arc<Mutex<HashMap<String, usize>>>;

/// VMs, engines and the store of a run.
pub struct CrashingSite {
    pub store: KvStandIn,
    pub engines: Arc<Vec<EngineStandIn>>,
    pub vms: Vec<Option<Vm>>,
    /// Of each VM to the store.
    links: Vec<Proxy>,
    name: String,
    addresses: Addresses,
    senders: Senders,
    /// When VMs started, by their numbers, and when the store was back.
    starts: Vec<(usize, Instant)>,
    store_back: Option<Instant>,
    /// Logs of the processes that have ended.
    logs: Vec<String>,
    _upstreams: Vec<UpstreamStandIn>,
}

fn bad_part(number: usize) -> String {
    format!("bad{number:x}")
}

fn sound_part(number: usize) -> String {
    format!("5a{number:x}")
}

/// A generation whose prompt has these parts and one of its own.
pub fn generation<S>(parts: &[S]) -> Request
where
    S: Display,
{
    let own = NEXT_PART.fetch_add(1, Ordering::Relaxed);
    let mut prompt = String::new();
    for part in parts {
        write!(prompt, "{part}:50,").unwrap();
    }
    write!(prompt, "{own:x}:50").unwrap();
    Request::new("POST", "/model/")
        .with("X-Model", "base")
        .with("X-Token-Counts", "150,10")
        .with("X-Prompt-Prefix", &prompt)
        .with("X-Deadline-Ms", "1500")
        .body(format!("prompt-{own}").as_bytes())
}

impl CrashingSite {
    pub fn start(
        play: &Storm,
        name: &str,
    ) -> Self {
        let vms = play.vms;
        let (store, upstreams) = start_platform(&["s-1"]);
        let mut next = config(2);
        if play.adapters > 0 {
            let engine = &mut next["services"][1]["engine"];
            engine["loads_per_s"] = json!(ADAPTER_LOADS_PER_S);
            engine["models"][0]["adapters"] = json!(play.adapters);
        }
        if play.resumes {
            let mut draft = route("draft", "streaming", 2, true);
            draft["service"] = json!("llm");
            next["routes"].as_array_mut().unwrap().push(draft);
        }
        store.put("op/config", &next);
        let start = |number| {
            let engine = EngineStandIn::start(&format!("e-{number}")).unwrap();
            engine.crash_on(&[], EVENT_GAP);
            engine.set_crash_end(play.end);
            engine.set_queue_time(play.queue_time);
            store.put(&engine.key(), &engine.entry("llm", "one"));
            engine
        };
        let engines = Arc::new((0..ENGINES).map(start).collect());
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let links = (0..vms).map(|_| Proxy::start(any_address, store.address()).unwrap());
        let links = links.collect();
        let mut site = Self {
            store,
            engines,
            vms: (0..vms).map(|_| None).collect(),
            links,
            name: name.to_owned(),
            addresses: Arc::new(Mutex::new(vec![None; vms])),
            senders: Senders::default(),
            starts: Vec::new(),
            store_back: None,
            logs: Vec::new(),
            _upstreams: upstreams,
        };
        site.start_missing();
        wait_until("a VM leads", || site.leader().is_some());
        site
    }

    fn vm_name(
        &self,
        number: usize,
    ) -> String {
        format!("{}-{number}-{}", self.name, std::process::id())
    }

    /// Starts the VMs that don't run, and waits until all are ready.
    fn start_missing(&mut self) {
        for number in 0..self.vms.len() {
            if self.vms[number].is_none() {
                let store = self.links[number].address();
                let vm = Vm::start_with_store(store, &self.vm_name(number));
                self.addresses.lock().unwrap()[number] = Some(vm.callers);
                self.starts.push((number, Instant::now()));
                self.vms[number] = Some(vm);
            }
        }
    }

    fn are_ready(&self) -> bool {
        self.vms.iter().flatten().all(Vm::is_ready)
    }

    /// The number of the VM that leads, as far as the store knows.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.value(LEADER_KEY)?;
        let text = String::from_utf8_lossy(&value).into_owned();
        (0..self.vms.len()).find(|&number| text.contains(&self.vm_name(number)))
    }

    /// Ends VMs, all at once.
    fn end_vms(
        &mut self,
        numbers: &[usize],
        signal: Signal,
    ) {
        for &number in numbers {
            self.vms[number].as_ref().unwrap().signal(signal);
        }
        for &number in numbers {
            let mut vm = self.vms[number].take().unwrap();
            vm.wait_for_exit();
            self.addresses.lock().unwrap()[number] = None;
            self.logs.push(format!("== {}\n{}", vm.name, vm.log()));
        }
    }

    fn lose(
        &mut self,
        loss: Loss,
        round: usize,
    ) {
        let all: Vec<usize> = (0..self.vms.len()).collect();
        let leader: Vec<usize> = self.leader().into_iter().collect();
        let (signal, numbers) = match loss {
            Loss::Nothing => return,
            Loss::Leader => (Signal::SIGKILL, leader),
            Loss::LeaderStopped => (Signal::SIGTERM, leader),
            Loss::LeaderSuspended => return self.suspend(&leader),
            Loss::TwoVmsSuspended => {
                let two = [2 * round, 2 * round + 1].map(|number| number % self.vms.len());
                return self.suspend(&two);
            }
            Loss::HalfOfVmsSuspended => {
                let half = all.iter().copied().filter(|number| number % 2 == round % 2);
                return self.suspend(&half.collect::<Vec<_>>());
            }
            Loss::HalfOfVms => {
                let half = all.iter().copied().filter(|number| number % 2 == round % 2);
                (Signal::SIGKILL, half.collect())
            }
            Loss::Store(outage) => {
                self.store.set_outage(outage);
                thread::sleep(OUTAGE);
                return self.end_outage();
            }
            Loss::OneVmCutOff => {
                let link = &self.links[round % self.vms.len()];
                link.set_mode(Fault::Cut);
                thread::sleep(OUTAGE);
                return link.set_mode(Fault::Pass);
            }
            Loss::SilentEngines => return self.silence_engines(),
            Loss::OneVm | Loss::StoreAndOneVm => (Signal::SIGKILL, vec![round % self.vms.len()]),
            Loss::AllVms | Loss::StoreAndAllVms => (Signal::SIGKILL, all),
            Loss::AllVmsStopped => (Signal::SIGTERM, all),
        };
        self.end_vms(&numbers, signal);
        if loss == Loss::StoreAndAllVms {
            self.end_outage();
        }
        self.start_missing();
    }

    fn suspend(
        &self,
        numbers: &[usize],
    ) {
        let vms = numbers
            .iter()
            .filter_map(|&number| self.vms[number].as_ref());
        let vms: Vec<&Vm> = vms.collect();
        let signal = |signal| {
            for vm in &vms {
                vm.signal(signal);
            }
        };
        signal(Signal::SIGSTOP);
        thread::sleep(SUSPENSION);
        signal(Signal::SIGCONT);
    }

    fn silence_engines(&self) {
        let silence = Silence {
            at: SilentAt::Head,
            time: SILENCE,
        };
        let set = |silence| {
            for engine in self.engines.iter() {
                engine.set_silence(silence);
            }
        };
        set(Some(silence));
        thread::sleep(SILENCE);
        set(None);
    }

    fn end_outage(&mut self) {
        self.store.set_outage(Outage::None);
        self.store_back = Some(Instant::now());
    }

    /// Lets engines crash under the crashing parts from now on.
    fn set_crashing(
        &self,
        storm: &Storm,
    ) {
        let bad: Vec<String> = (0..storm.prompts.count()).map(bad_part).collect();
        let bad: Vec<&str> = bad.iter().map(String::as_str).collect();
        for engine in self.engines.iter() {
            engine.crash_on(&bad, EVENT_GAP);
        }
    }

    /// Sends prompts through all VMs while VMs or the store are lost, and counts what reached engines.
    pub fn run(
        &mut self,
        storm: &Storm,
    ) -> Outcome {
        wait_until("all VMs are ready", || self.are_ready());
        let began = Instant::now();
        let until = began + storm.time;
        let addresses = Arc::clone(&self.addresses);
        let senders = Arc::clone(&self.senders);
        let half = began + storm.time / 2;
        let adapters = storm.adapter_distribution();
        let deadline = storm.deadline.as_millis().to_string();
        let call = |vm: usize, parts: &[String], rng: &mut ChaCha8Rng| {
            let mut req = generation(parts).with("X-Deadline-Ms", &deadline);
            if let Some(adapters) = &adapters {
                req = req.with("X-Model", &format!("base/a{}", adapters.sample(rng)));
            }
            if storm.resumes && rng.random_bool(0.5) {
                req = req.to("/draft/");
            }
            call(&addresses, &senders, vm, &req)
        };
        let call_bad = |vm: usize, number: usize| {
            let mut rng = ChaCha8Rng::seed_from_u64((vm * MAX_CALLERS + number) as u64);
            if storm.adapters > 0 {
                thread::sleep(storm.interval.mul_f64(rng.random_range(0.0..1.0)));
            }
            while Instant::now() < until {
                let parts = storm.prompts.parts(number, Instant::now() >= half);
                call(vm, &parts, &mut rng);
                thread::sleep(storm.interval);
            }
        };
        let call_sound = |vm: usize| {
            let mut rng = ChaCha8Rng::seed_from_u64((vm * MAX_CALLERS + MAX_CALLERS - 1) as u64);
            let mut counts = (0, 0);
            while Instant::now() < until {
                let subject = sound_part(rng.random_range(0..storm.subjects));
                let parts = [FIRST.to_owned(), subject];
                if let Some(is_served) = call(vm, &parts, &mut rng) {
                    counts.0 += usize::from(is_served);
                    counts.1 += 1;
                }
                thread::sleep(storm.sound_interval);
            }
            counts
        };
        let call_bad = &call_bad;
        let call_sound = &call_sound;
        let sound = thread::scope(|scope| {
            for vm in 0..storm.vms {
                for number in 0..storm.prompts.count() {
                    scope.spawn(move || call_bad(vm, number));
                }
            }
            let sound: Vec<_> = (0..storm.vms)
                .map(|vm| scope.spawn(move || call_sound(vm)))
                .collect();
            if storm.has_own_ends {
                let engines = Arc::clone(&self.engines);
                scope.spawn(move || end_in_turn(&engines, until));
            }
            self.lose_all(storm);
            let counts = sound.into_iter().map(|caller| caller.join().unwrap());
            counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
        });
        let parts = (0..storm.prompts.count()).map(bad_part);
        let outcome = Outcome {
            parts: parts
                .map(|part| (part.clone(), self.count(&part)))
                .collect(),
            sound,
            refused: self.refused(),
            repeats: self.repeats(storm.deadline),
        };
        println!(
            "{} {:?} {:?} {:?} {} adapters: late {} ({} in touch), sound {:.2} of {}, crashes {:?}, refused {:?}, {:?}",
            self.name,
            storm.prompts,
            storm.loss,
            storm.end,
            storm.adapters,
            outcome.late(),
            outcome.late_in_touch(),
            outcome.served(),
            sound.1,
            outcome
                .parts
                .values()
                .map(|one| one.crashes)
                .collect::<Vec<_>>(),
            outcome.refused,
            outcome.repeats
        );
        self.save_logs();
        outcome
    }

    fn lose_all(
        &mut self,
        storm: &Storm,
    ) {
        if storm.loss == Loss::StoreAndOneVm {
            self.store.set_outage(Outage::Unavailable);
        }
        thread::sleep(storm.sound_for);
        self.set_crashing(storm);
        for round in 0..storm.losses {
            if storm.loss == Loss::StoreAndAllVms {
                wait_until("all VMs are ready", || self.are_ready());
                self.store.set_outage(Outage::Unavailable);
            }
            thread::sleep(storm.loss_interval);
            self.lose(storm.loss, round);
        }
        if storm.loss == Loss::StoreAndOneVm {
            self.end_outage();
        }
    }

    /// What the store holds of refused parts.
    pub fn refused(&self) -> BTreeSet<String> {
        let keys = self.store.keys();
        let names = keys
            .iter()
            .filter_map(|key| key.strip_prefix(QUARANTINE_PREFIX));
        names.map(str::to_owned).collect()
    }

    /// Whether a VM runs for long enough, and the store answers for as long.
    fn is_in_touch(
        &self,
        vm: usize,
        at: Instant,
    ) -> bool {
        let starts = self.starts.iter().filter(|&&(number, _)| number == vm);
        let mut changes = starts.map(|&(_, start)| start).chain(self.store_back);
        !changes.any(|change| change <= at && at < change + CONTACT)
    }

    /// How many crashes a part caused, and how many requests with it reached engines too late.
    fn count(
        &self,
        part: &str,
    ) -> PartCounts {
        let PartArrivals { crashes, late } = PartArrivals::at(&self.engines, part);
        let senders = self.senders.lock().unwrap();
        let in_touch = late.iter().filter(|arrival| {
            let vm = senders.get(&arrival.request_id);
            vm.is_some_and(|&vm| self.is_in_touch(vm, arrival.at))
        });
        PartCounts {
            crashes,
            late: late.len(),
            late_in_touch: in_touch.count(),
        }
    }

    fn repeats(
        &self,
        deadline: Duration,
    ) -> Repeats {
        let arrivals = self.engines.iter().flat_map(EngineStandIn::arrivals);
        let mut arrivals: Vec<PromptArrival> = arrivals.collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut counts: HashMap<&str, usize> = HashMap::new();
        let mut repeated: Vec<Instant> = Vec::new();
        for arrival in &arrivals {
            let count = counts.entry(&arrival.request_id).or_default();
            *count += 1;
            if *count > 1 {
                repeated.push(arrival.at);
            }
        }
        let in_window = repeated.iter().enumerate().map(|(first, &at)| {
            let end = repeated.partition_point(|&other| other < at + BUDGET_WINDOW);
            end - first
        });
        let given = |arrival: &&PromptArrival| {
            let limit = deadline.as_millis() as u64;
            arrival.deadline_ms.is_none_or(|given| given > limit)
        };
        Repeats {
            in_window: in_window.max().unwrap_or_default(),
            beyond_attempts: counts
                .values()
                .filter(|&&count| count > MAX_ATTEMPTS)
                .count(),
            with_too_much_time: arrivals.iter().filter(given).count(),
        }
    }

    /// Writes the logs of all processes to the directory that `JASMINE_LOGS` names, if it does.
    fn save_logs(&self) {
        let Some(directory) = std::env::var_os("JASMINE_LOGS") else {
            return;
        };
        let running = self.vms.iter().flatten();
        let running = running.map(|vm| format!("== {}\n{}", vm.name, vm.log()));
        let logs: Vec<String> = self.logs.iter().cloned().chain(running).collect();
        let path = std::path::Path::new(&directory).join(format!("{}.log", self.name));
        std::fs::write(path, logs.concat()).unwrap();
    }
}

/// Ends one engine after the other, whatever they run.
fn end_in_turn(
    engines: &[EngineStandIn],
    until: Instant,
) {
    for engine in engines.iter().cycle() {
        thread::sleep(OWN_END_INTERVAL);
        if Instant::now() >= until {
            return;
        }
        if !engine.is_down() {
            engine.end();
        }
    }
}

/// Sends a prompt through a VM; returns whether it was served, or `None` without an answer.
fn call(
    addresses: &Addresses,
    senders: &Senders,
    vm: usize,
    req: &Request,
) -> Option<bool> {
    let address = addresses.lock().unwrap()[vm]?;
    senders.lock().unwrap().insert(req.id().to_owned(), vm);
    let response = exchange(address, &req.bytes())?;
    Some(response.status == 200 && response.is_complete)
}
