use {
    super::{
        breaks::{Break, Breaks, Failure},
        configuration::{BUSY_SERVICE, Configuration, Published},
        disturbances::{Disturbances, Disturbed},
        ending::{ENDING_UPSTREAMS, EndingStep, EndingUpstream},
        fault::{
            BUILD_SLOTS, CRASH_ENGINES, CRASHING_PARTS, Fault, Silenced, Statement, UPSTREAMS, VMS,
        },
        older_versions::{Announced, VERSION_BOUND},
        open_connections::IdleTimeout,
        vm_log::VmLog,
    },
    crate::deployment::{self, Request, TIMEOUT, Vm, exchange},
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn, Outage, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault as LinkFault, Link, Proxy},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        collections::{HashMap, HashSet},
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Number of events of a complete stream.
pub const EVENTS: u64 = 12;
/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// How long the upstream works on a request of a burst.
const BUSY_TIME: Duration = Duration::from_millis(100);
/// Software versions that serve side by side.
const BUILDS: usize = 2;
/// First start of an upstream, as a Unix time in milliseconds.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Time between the events of the engines that crash.
const EVENT_GAP: Duration = Duration::from_millis(5);

/// The header in which upstreams report their load.
const LOAD_HEADER: &str = "X-Server-Load";

/// The VM that all new connections reach, or [`NO_HERD`].
pub type Herd = Arc<AtomicUsize>;
pub const NO_HERD: usize = usize::MAX;
const ANY_ADDRESS: &str = "127.0.0.1:0";

struct VmSlot {
    number: usize,
    name: String,
    vm: Option<Vm>,
    starts_at: Option<Instant>,
    resumes_at: Option<Instant>,
    is_stopping: bool,
    /// Whether its process was killed or is being stopped.
    may_exit: bool,
    /// When it was last seen running before it exited.
    down_from: Instant,
    store_link: Proxy,
    caller_link: Proxy,
    log: String,
}

/// The proxy or state that has to be restored after a fault.
#[derive(Clone, Copy, Debug)]
enum FaultTarget {
    StoreLink(usize),
    CallerLink(usize),
    UpstreamLink(usize),
    VmLinks(usize),
    Store,
    Draining(usize),
    Evacuated(usize),
    Statement(usize, Statement),
    LoadReports(usize),
    Herd,
    EngineQueue,
    PromptGap,
    Silence(Silenced),
}

/// The links of all VMs to an upstream that isn't one of `upstreams`.
struct OtherLink {
    service: String,
    link: Proxy,
}

/// All processes, fake services and proxies of a run.
pub struct Cluster {
    store: KvStandIn,
    slots: Vec<VmSlot>,
    pub upstreams: Vec<UpstreamStandIn>,
    upstream_links: Vec<Proxy>,
    /// How often each upstream has started again.
    starts: [u64; UPSTREAMS],
    pub streams: UpstreamStandIn,
    /// An upstream that serves some routes in some configurations.
    pub spare: UpstreamStandIn,
    /// The upstream that gets bursts.
    pub busy: UpstreamStandIn,
    pub engine: EngineStandIn,
    /// Upstreams of several software versions, and those that others have replaced.
    pub builds: Vec<UpstreamStandIn>,
    pub released: Vec<UpstreamStandIn>,
    /// Upstreams that end under requests.
    pub ending: Vec<EndingUpstream>,
    other_links: Vec<OtherLink>,
    /// The faults of each VM's links to all upstreams.
    vm_link_modes: [Option<LinkFault>; VMS],
    /// Engines that prompts can crash.
    pub crash_engines: Vec<EngineStandIn>,
    crashing_parts: Vec<&'static str>,
    /// The announced versions of adapters, in their order.
    pub announced: Vec<Announced>,
    pub disturbances: Disturbances,
    pub breaks: Breaks,
    /// VMs whose processes have ended by themselves.
    pub own_ends: Vec<String>,
    herd: Herd,
    configuration: Configuration,
    /// All versions of the configuration.
    pub published: Vec<Published>,
    idle_timeout: IdleTimeout,
    began: Instant,
    stepped: Instant,
    /// The faults so far, for the logs.
    faults: Vec<String>,
    pending_ends: Vec<(Instant, FaultTarget)>,
}

impl Cluster {
    pub fn start(seed: u64) -> Self {
        let store = KvStandIn::start().unwrap();
        let upstreams: Vec<_> = (0..UPSTREAMS)
            .map(|number| UpstreamStandIn::start(&upstream_id(number)).unwrap())
            .collect();
        let upstream_links = upstreams
            .iter()
            .map(|upstream| start_proxy(entry_address(&upstream.entry("app", "one", "ready"))))
            .collect();
        let streams = UpstreamStandIn::start("t-1").unwrap();
        streams.set_default(Behaviour::Events(EVENTS));
        let spare = UpstreamStandIn::start("r-1").unwrap();
        let busy = UpstreamStandIn::start("o-1").unwrap();
        busy.set_default(Behaviour::Slow(BUSY_TIME));
        let engine = EngineStandIn::start("e-1").unwrap();
        let mut cluster = Self {
            store,
            slots: Vec::new(),
            upstreams,
            upstream_links,
            starts: [0; UPSTREAMS],
            streams,
            spare,
            busy,
            engine,
            builds: Vec::new(),
            released: Vec::new(),
            ending: Vec::new(),
            other_links: Vec::new(),
            vm_link_modes: [None; VMS],
            crash_engines: Vec::new(),
            crashing_parts: Vec::new(),
            announced: Vec::new(),
            disturbances: Disturbances::default(),
            breaks: Breaks::default(),
            own_ends: Vec::new(),
            herd: Arc::new(AtomicUsize::new(NO_HERD)),
            configuration: Configuration::default(),
            published: Vec::new(),
            idle_timeout: IdleTimeout::default(),
            began: Instant::now(),
            stepped: Instant::now(),
            faults: Vec::new(),
            pending_ends: Vec::new(),
        };
        cluster.put_config();
        for number in 0..UPSTREAMS {
            cluster.register_upstream(number, "ready");
        }
        let entry = cluster.streams.entry("flows", "one", "ready");
        cluster.register_behind_proxy(&cluster.streams.key(), entry);
        let entry = cluster.spare.entry("spare", "one", "ready");
        cluster.register_behind_proxy(&cluster.spare.key(), entry);
        let entry = cluster.busy.entry(BUSY_SERVICE, "one", "ready");
        cluster.register_behind_proxy(&cluster.busy.key(), entry);
        for number in 0..BUILD_SLOTS {
            let upstream = cluster.start_build(number);
            cluster.builds.push(upstream);
        }
        for number in 0..CRASH_ENGINES {
            let engine = EngineStandIn::start(&format!("p-{number}")).unwrap();
            engine.crash_on(&[], EVENT_GAP);
            let entry = engine.entry("prompts", "one");
            cluster.register_behind_proxy(&engine.key(), entry);
            cluster.crash_engines.push(engine);
        }
        for number in 0..ENDING_UPSTREAMS {
            let mut upstream = EndingUpstream::start(number);
            let entry = upstream.entry();
            let address = cluster.register_behind_proxy(&upstream.key(), entry);
            upstream.set_address(address);
            cluster.ending.push(upstream);
        }
        let entry = cluster.engine.entry("llm", "one");
        cluster.register_behind_proxy(&cluster.engine.key(), entry);
        for number in 0..VMS {
            cluster.add_vm(format!("soak-{}-{seed}-{number}", std::process::id()));
        }
        let all_ready = || {
            let vms = cluster.slots.iter().filter_map(|slot| slot.vm.as_ref());
            vms.filter(|vm| vm.is_ready()).count() == VMS
        };
        deployment::wait_until("all are ready", all_ready);
        cluster
    }

    fn add_vm(
        &mut self,
        name: String,
    ) {
        let store_link = start_proxy(self.store.address());
        let number = self.slots.len();
        let vm = start_vm(store_link.address(), &name, number);
        self.slots.push(VmSlot {
            number,
            name,
            store_link,
            caller_link: start_proxy(vm.callers),
            vm: Some(vm),
            starts_at: None,
            resumes_at: None,
            is_stopping: false,
            may_exit: false,
            down_from: Instant::now(),
            log: String::new(),
        });
    }

    /// The callers' addresses of the VMs, which stay the same across restarts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let address = |slot: &VmSlot| slot.caller_link.address();
        self.slots.iter().map(address).collect()
    }

    /// The logs of all VMs.
    pub fn logs(&self) -> String {
        self.slots.iter().map(VmSlot::whole_log).collect()
    }

    /// Waits until all VMs have written the lines of requests that have ended: those come before that of a SIGHUP.
    pub fn await_logs(&self) {
        for vm in self.slots.iter().filter_map(|slot| slot.vm.as_ref()) {
            let count = || vm.log().matches("event=reload_asked").count();
            let before = count();
            vm.signal(Signal::SIGHUP);
            deployment::wait_until("the logs are written", || count() > before);
        }
    }

    /// What the log of each VM says.
    pub fn vm_logs(&self) -> Vec<VmLog> {
        let logs = self.slots.iter().map(VmSlot::whole_log);
        logs.map(|log| VmLog::read(&log)).collect()
    }

    fn all_upstreams(&self) -> impl Iterator<Item = &UpstreamStandIn> {
        let others = [&self.streams, &self.spare, &self.busy];
        let upstreams = self.upstreams.iter().chain(others);
        upstreams.chain(&self.builds).chain(&self.released)
    }

    /// Upstreams, each with the requests of which its answer has failed.
    pub fn failed_answers(&self) -> HashMap<String, HashSet<(String, Failure)>> {
        let mut failed: HashMap<String, HashSet<(String, Failure)>> = HashMap::new();
        for upstream in self.all_upstreams() {
            let id = upstream.key().trim_start_matches("servers/").to_owned();
            let address = own_address(upstream);
            let answers = self.breaks.failed(address, upstream.arrivals());
            failed.entry(id).or_default().extend(answers);
        }
        failed
    }

    /// The ids of all requests that reached upstreams or engines.
    pub fn arrived_ids(&self) -> HashSet<String> {
        let engines = self.crash_engines.iter().chain([&self.engine]);
        let at_upstreams = self.all_upstreams().flat_map(UpstreamStandIn::arrivals);
        let at_engines = engines.flat_map(EngineStandIn::arrivals);
        let at_upstreams = at_upstreams.map(|arrival| arrival.request_id);
        let at_engines = at_engines.map(|arrival| arrival.request_id);
        at_upstreams.chain(at_engines).collect()
    }

    /// Saves the logs of a failed seed.
    pub fn save_logs(
        &self,
        seed: u64,
    ) {
        let name = format!("jasmine-soak-{seed}-{}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        let faults = self.faults.join("\n");
        fs::write(&path, faults + "\n" + &self.logs()).unwrap();
        eprintln!("logs of seed {seed}: {}", path.display());
    }

    /// The time from the beginning of the run.
    pub fn age_of(
        &self,
        at: Instant,
    ) -> Duration {
        at.duration_since(self.began)
    }

    /// Starts a fault.
    pub fn start_fault(
        &mut self,
        fault: Fault,
    ) {
        let began = self.age_of(Instant::now());
        self.faults.push(format!("{began:?} {fault:?}"));
        match fault {
            Fault::Kill(vm) => self.kill(vm),
            Fault::Stop(vm) => self.stop(vm),
            Fault::Suspend(vm, time) => self.suspend(vm, time),
            Fault::StoreLink(vm, link, time) => {
                self.disturbances.add(Disturbed::OtherLinks(vm), time);
                self.slots[vm].store_link.set(link);
                self.end_after(time, FaultTarget::StoreLink(vm));
            }
            Fault::CallerLink(vm, link, time) => {
                self.disturbances.add(Disturbed::OtherLinks(vm), time);
                self.breaks.add_caller_link(vm, link, time);
                self.slots[vm].caller_link.set(link);
                self.end_after(time, FaultTarget::CallerLink(vm));
            }
            Fault::UpstreamLink(upstream, link, time) => {
                let id = upstream_id(upstream);
                self.breaks.add_upstream_link(&id, link, time);
                self.upstream_links[upstream].set(link);
                self.end_after(time, FaultTarget::UpstreamLink(upstream));
            }
            Fault::VmLinks(vm, mode, time) => {
                self.disturbances.add(Disturbed::UpstreamLinks(vm), time);
                if mode == LinkFault::Reset {
                    self.breaks.add(Break::UpstreamLinks(vm), Some(time));
                }
                self.set_vm_links(vm, Some(mode));
                self.end_after(time, FaultTarget::VmLinks(vm));
            }
            Fault::LoadReports(upstream, report, time) => {
                let headers = &self.reporting(upstream).headers;
                headers.set(LOAD_HEADER, Some(report.value()));
                self.end_after(time, FaultTarget::LoadReports(upstream));
            }
            Fault::StoreOutage(outage, time) => {
                self.disturbances.add(Disturbed::Store, time);
                self.store.set_outage(outage);
                self.end_after(time, FaultTarget::Store);
            }
            Fault::StoreHistoryLost => {
                self.disturbances.add(Disturbed::Store, Duration::ZERO);
                self.store.compact_history();
            }
            Fault::CrashingPart(part) => self.add_crashing_part(part),
            Fault::EngineCrash(engine) => self.crash_engines[engine].crash(),
            Fault::UpstreamEnd(upstream) => self.ending[upstream].end(),
            Fault::NewVersion(adapter) => self.announce_version(adapter),
            Fault::EngineQueue(queued, time) => {
                self.engine.set_queue_time(queued);
                self.end_after(time, FaultTarget::EngineQueue);
            }
            Fault::Herd(vm, time) => {
                self.herd.store(vm, Ordering::Relaxed);
                self.end_after(time, FaultTarget::Herd);
            }
            Fault::UpstreamMisbehaves(upstream, how) => {
                set_next(&mut self.breaks, &self.upstreams[upstream..=upstream], &how);
            }
            Fault::UpstreamsMisbehave(how) => set_next(&mut self.breaks, &self.upstreams, &how),
            Fault::NextStream(how) => {
                set_next(&mut self.breaks, std::slice::from_ref(&self.streams), &how);
            }
            Fault::BuildStream(slot, how) => {
                set_next(&mut self.breaks, &self.builds[slot..=slot], &how);
            }
            Fault::BuildStreams(how) => set_next(&mut self.breaks, &self.builds, &how),
            Fault::Silence(silenced, time) => self.silence(silenced, time),
            Fault::PromptGap(gap, time) => {
                self.set_prompt_gap(gap);
                self.end_after(time, FaultTarget::PromptGap);
            }
            Fault::Hangup(vm) => self.signal(vm, Signal::SIGHUP),
            Fault::Release(slot) => self.release(slot),
            Fault::OrderResponsesLost(count) => self.engine.lose_responses(count),
            Fault::NewConfig => self.put_config(),
            Fault::ConfigChange(change) => {
                self.configuration.change(change);
                self.put_config();
            }
            Fault::UpstreamDrains(upstream, time) => {
                self.register_upstream(upstream, "draining");
                self.end_after(time, FaultTarget::Draining(upstream));
            }
            Fault::Statement(upstream, statement, time) => {
                self.begin_statement(upstream, statement);
                self.end_after(time, FaultTarget::Statement(upstream, statement));
            }
            Fault::Evacuation(upstream, time) => {
                self.store.put(&evacuation_key(upstream), &json!({}));
                self.end_after(time, FaultTarget::Evacuated(upstream));
            }
        }
    }

    /// An upstream that reports its load: one of the service `app`, or that which gets bursts.
    fn reporting(
        &self,
        upstream: usize,
    ) -> &UpstreamStandIn {
        self.upstreams.get(upstream).unwrap_or(&self.busy)
    }

    fn kill(
        &mut self,
        vm: usize,
    ) {
        self.disturbances.begin_stop(vm);
        self.breaks.add(Break::Process(vm), None);
        self.slots[vm].may_exit = true;
        self.signal(vm, Signal::SIGKILL);
    }

    fn stop(
        &mut self,
        vm: usize,
    ) {
        self.disturbances.begin_stop(vm);
        self.breaks.begin_stop(vm);
        self.slots[vm].may_exit = true;
        self.signal(vm, Signal::SIGTERM);
        self.slots[vm].is_stopping = true;
    }

    fn suspend(
        &mut self,
        vm: usize,
        time: Duration,
    ) {
        self.disturbances.add(Disturbed::Process(vm), time);
        self.breaks.add(Break::Process(vm), Some(time));
        self.signal(vm, Signal::SIGSTOP);
        self.slots[vm].resumes_at = Some(Instant::now() + time);
    }

    fn add_crashing_part(
        &mut self,
        part: usize,
    ) {
        self.crashing_parts.push(CRASHING_PARTS[part]);
        for engine in &self.crash_engines {
            engine.crash_on(&self.crashing_parts, EVENT_GAP);
        }
    }

    fn end_after(
        &mut self,
        time: Duration,
        target: FaultTarget,
    ) {
        self.pending_ends.push((Instant::now() + time, target));
    }

    /// Replaces an upstream by one of another software version.
    fn release(
        &mut self,
        slot: usize,
    ) {
        let next = self.start_build(slot);
        let old = std::mem::replace(&mut self.builds[slot], next);
        self.store.remove(&old.key());
        self.released.push(old);
    }

    fn set_prompt_gap(
        &self,
        gap: Duration,
    ) {
        for engine in &self.crash_engines {
            engine.set_event_gap(gap);
        }
    }

    fn begin_statement(
        &self,
        upstream: usize,
        statement: Statement,
    ) {
        let (header, value) = statement.header();
        let stated = &self.upstreams[upstream];
        stated.headers.set(header, Some(value));
        if matches!(statement, Statement::Rest) {
            stated.set_default(Behaviour::Shed);
        }
    }

    /// Publishes and announces the next version of an adapter.
    fn announce_version(
        &mut self,
        adapter: usize,
    ) {
        let adapter = format!("a{}", adapter + 1);
        let known = self.announced.iter().rev();
        let last = known
            .filter(|announced| announced.adapter == adapter)
            .map(|announced| announced.version)
            .next();
        let version = last.unwrap_or(1) + 1;
        self.engine.publish(&adapter, version);
        let value = json!({"model": "base", "adapter": adapter, "version": version});
        self.store
            .put(&format!("op/version/base.{adapter}"), &value);
        self.announced.push(Announced {
            adapter,
            version,
            acked: Instant::now(),
        });
    }

    /// Ends expired faults and restarts processes that are due.
    pub fn step(&mut self) {
        let now = Instant::now();
        let (expired, active) = std::mem::take(&mut self.pending_ends)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending_ends = active;
        for (_, target) in expired {
            self.end_fault(target);
        }
        for number in 0..self.ending.len() {
            match self.ending[number].step() {
                EndingStep::Ended(address) => {
                    // Its proxy refuses connections as long as it is gone.
                    self.other_links
                        .retain(|other| other.link.address() != address);
                }
                EndingStep::Started => {
                    let (key, entry) = (self.ending[number].key(), self.ending[number].entry());
                    let address = self.register_behind_proxy(&key, entry);
                    self.ending[number].set_address(address);
                }
                EndingStep::Unchanged => {}
            }
        }
        let stepped = std::mem::replace(&mut self.stepped, now);
        for slot in &mut self.slots {
            if slot.has_ended_itself() {
                self.own_ends.push(format!("{} has ended", slot.name));
            }
            if slot.step(now, stepped) {
                self.disturbances.note_start(slot.number);
                self.breaks.note_start(slot.number, slot.down_from);
            }
        }
    }

    /// The VM that all new connections reach.
    pub const fn herd(&self) -> &Herd {
        &self.herd
    }

    pub const fn idle_timeout(&self) -> &IdleTimeout {
        &self.idle_timeout
    }

    pub fn stop_herds(&self) {
        self.herd.store(NO_HERD, Ordering::Relaxed);
    }

    /// Ends all faults and waits until all processes run.
    pub fn end_all_faults(&mut self) {
        for (_, target) in std::mem::take(&mut self.pending_ends) {
            self.end_fault(target);
        }
        for slot in &mut self.slots {
            slot.resumes_at = slot.resumes_at.map(|_| Instant::now());
        }
        let began = Instant::now();
        while began.elapsed() < TIMEOUT && !self.slots.iter().all(VmSlot::is_running) {
            self.step();
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the routes that aren't served in time after all faults have ended.
    pub fn unserved_routes(&self) -> Vec<String> {
        let targets = [
            ("GET", "/read/x"),
            ("POST", "/write/x"),
            ("POST", "/flow/x"),
            ("POST", "/build/x"),
        ];
        let mut violations = Vec::new();
        for slot in &self.slots {
            for (method, target) in targets {
                let began = Instant::now();
                let mut last = None;
                let is_served = |status: &Option<u16>| *status == Some(200);
                while began.elapsed() < TIMEOUT && !is_served(&last) {
                    let req = Request::new(method, target).body(b"again");
                    let response = exchange(slot.caller_link.address(), &req.bytes());
                    last = response.map(|response| response.status);
                    thread::sleep(Duration::from_millis(50));
                }
                if !is_served(&last) {
                    violations.push(format!(
                        "{}: {target} isn't served after recovery, last status {last:?}",
                        slot.name
                    ));
                }
            }
        }
        violations
    }

    fn signal(
        &mut self,
        vm: usize,
        signal: Signal,
    ) {
        if let Some(vm) = &mut self.slots[vm].vm
            && !vm.has_exited()
        {
            vm.signal(signal);
        }
    }

    fn end_fault(
        &mut self,
        target: FaultTarget,
    ) {
        let healthy = Link::default();
        match target {
            FaultTarget::LoadReports(upstream) => {
                self.reporting(upstream).headers.set(LOAD_HEADER, None);
            }
            FaultTarget::Herd => self.stop_herds(),
            FaultTarget::EngineQueue => self.engine.set_queue_time(Duration::ZERO),
            FaultTarget::PromptGap => self.set_prompt_gap(EVENT_GAP),
            FaultTarget::Silence(silenced) => self.set_silenced_links(silenced, LinkFault::Pass),
            FaultTarget::StoreLink(vm) => self.slots[vm].store_link.set(healthy),
            FaultTarget::CallerLink(vm) => self.slots[vm].caller_link.set(healthy),
            FaultTarget::UpstreamLink(upstream) => self.upstream_links[upstream].set(healthy),
            FaultTarget::VmLinks(vm) => self.set_vm_links(vm, None),
            FaultTarget::Store => self.store.set_outage(Outage::None),
            FaultTarget::Draining(upstream) => self.register_upstream(upstream, "ready"),
            FaultTarget::Evacuated(upstream) => self.store.remove(&evacuation_key(upstream)),
            FaultTarget::Statement(upstream, statement) => {
                let stated = &self.upstreams[upstream];
                stated.headers.set(statement.header().0, None);
                match statement {
                    Statement::RequestLimit | Statement::Brittle => {}
                    Statement::Rest => stated.set_default(Behaviour::Answer(b"ok".to_vec())),
                    Statement::Leaving => {
                        self.starts[upstream] += 1;
                        self.register_upstream(upstream, "ready");
                    }
                }
            }
        }
    }

    fn register_behind_proxy(
        &mut self,
        key: &str,
        mut entry: Value,
    ) -> SocketAddr {
        let link = start_proxy(entry_address(&entry));
        let service = entry["service"].as_str().unwrap_or_default().to_owned();
        entry["address"] = json!(link.address().to_string());
        self.store.put(key, &entry);
        for (vm, &mode) in self.vm_link_modes.iter().enumerate() {
            link.set_mode_for(upstream_source(vm), mode);
        }
        let address = link.address();
        self.other_links.push(OtherLink { service, link });
        address
    }

    /// Starts an upstream of the next software version for a slot, under an id of its own.
    fn start_build(
        &mut self,
        slot: usize,
    ) -> UpstreamStandIn {
        let releases = self.released.len();
        let upstream = UpstreamStandIn::start(&format!("b-{slot}-{releases}")).unwrap();
        upstream.set_build(&format!("v{}", (slot + releases) % BUILDS));
        upstream.set_default(Behaviour::Events(EVENTS));
        let entry = upstream.entry("builds", "one", "ready");
        self.register_behind_proxy(&upstream.key(), entry);
        upstream
    }

    fn set_vm_links(
        &mut self,
        vm: usize,
        mode: Option<LinkFault>,
    ) {
        self.vm_link_modes[vm] = mode;
        let other_links = self.other_links.iter().map(|other| &other.link);
        for link in self.upstream_links.iter().chain(other_links) {
            link.set_mode_for(upstream_source(vm), mode);
        }
    }

    fn silence(
        &mut self,
        silenced: Silenced,
        time: Duration,
    ) {
        if matches!(silenced, Silenced::All) {
            for vm in 0..VMS {
                self.disturbances.add(Disturbed::UpstreamLinks(vm), time);
            }
        }
        self.set_silenced_links(silenced, LinkFault::Cut);
        self.end_after(time, FaultTarget::Silence(silenced));
    }

    fn set_silenced_links(
        &self,
        silenced: Silenced,
        mode: LinkFault,
    ) {
        let is_silenced = |service: &str| match silenced {
            Silenced::Upstream(_) => false,
            Silenced::Service(silenced) => silenced == service,
            Silenced::All => true,
        };
        for (number, link) in self.upstream_links.iter().enumerate() {
            let is_one = matches!(silenced, Silenced::Upstream(one) if one == number);
            if is_one || is_silenced("app") {
                link.set_mode(mode);
            }
        }
        let others = self.other_links.iter();
        for other in others.filter(|other| is_silenced(&other.service)) {
            other.link.set_mode(mode);
        }
    }

    fn register_upstream(
        &self,
        number: usize,
        state: &str,
    ) {
        let upstream = &self.upstreams[number];
        let mut entry = upstream.entry("app", &data_centre(number), state);
        entry["address"] = json!(self.upstream_links[number].address().to_string());
        entry["born"] = json!(FIRST_START_MS + self.starts[number]);
        self.store.put(&upstream.key(), &entry);
    }

    fn put_config(&mut self) {
        let (config, published) = self.configuration.next();
        self.store.put("op/config", &config);
        let idle_ms = published.idle_timeout.as_millis() as u64;
        self.idle_timeout.store(idle_ms, Ordering::Relaxed);
        self.published.push(published);
    }
}

/// The id of an upstream of the service `app`.
fn upstream_id(upstream: usize) -> String {
    format!("s-{upstream}")
}

/// The address of an upstream behind its link.
fn own_address(upstream: &UpstreamStandIn) -> SocketAddr {
    entry_address(&upstream.entry("", "", ""))
}

/// Sets how upstreams handle their next requests.
fn set_next(
    breaks: &mut Breaks,
    upstreams: &[UpstreamStandIn],
    how: &Behaviour,
) {
    for upstream in upstreams {
        breaks.add_behaviour(own_address(upstream), how);
        upstream.next(how.clone());
    }
}

/// Starts a VM on which an evacuation holds as soon as it is known.
fn start_vm(
    store: SocketAddr,
    name: &str,
    number: usize,
) -> Vm {
    Vm::start_with_settings(store, name, |settings| {
        settings["upstream_source"] = json!(upstream_source(number));
        settings["evacuation_ms"] = json!(2_500);
        settings["version_ms"] = json!(VERSION_BOUND.as_millis() as u64);
    })
}

/// The address from which a VM connects to upstreams.
fn upstream_source(vm: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + vm as u8))
}

/// The data centre of an upstream of the service `app`.
fn data_centre(upstream: usize) -> String {
    format!("dc-{upstream}")
}

fn evacuation_key(upstream: usize) -> String {
    format!("op/evacuate/{}", data_centre(upstream))
}

impl VmSlot {
    fn is_running(&self) -> bool {
        let is_up = self.vm.is_some() && self.starts_at.is_none();
        is_up && self.resumes_at.is_none() && !self.is_stopping
    }

    fn whole_log(&self) -> String {
        self.log.clone() + &self.vm.as_ref().map_or_else(String::new, Vm::log)
    }

    /// Whether its process has exited, but was neither killed nor stopped.
    fn has_ended_itself(&mut self) -> bool {
        let may_exit = self.may_exit;
        let mut vm = self.vm.iter_mut();
        vm.any(|vm| !may_exit && vm.has_exited())
    }

    /// Goes on with the process; returns whether it has started again.
    fn step(
        &mut self,
        now: Instant,
        stepped: Instant,
    ) -> bool {
        if let Some(vm) = &mut self.vm {
            if self.resumes_at.is_some_and(|at| at <= now) {
                self.resumes_at = None;
                if !vm.has_exited() {
                    vm.signal(Signal::SIGCONT);
                }
            }
            if vm.has_exited() {
                self.log.push_str(&vm.log());
                self.vm = None;
                self.resumes_at = None;
                self.down_from = stepped;
                self.starts_at = Some(now + RESTART_DELAY);
            }
        }
        let is_due = self.starts_at.is_some_and(|at| at <= now);
        if is_due {
            self.starts_at = None;
            let vm = start_vm(self.store_link.address(), &self.name, self.number);
            self.caller_link.retarget(vm.callers);
            self.is_stopping = false;
            self.may_exit = false;
            self.vm = Some(vm);
        }
        is_due
    }
}

fn start_proxy(target: SocketAddr) -> Proxy {
    Proxy::start(ANY_ADDRESS.parse().unwrap(), target).unwrap()
}

fn entry_address(entry: &Value) -> SocketAddr {
    entry["address"].as_str().unwrap().parse().unwrap()
}
