//! A site of seven VMs in three data centres: silent upstreams beside ones in trouble, and a configuration each second.

mod actions;
mod answers;
mod cause_table;
mod clients;
mod conduct;
mod outage;
mod routes;
mod streams;
mod timed_reader;
mod upstream;
mod vm;

use {
    super::{callers::Record, checks::check_runs, vm_log::VmLog},
    crate::deployment::wait_until,
    actions::{Action, plan},
    answers::check_answers,
    clients::Clients,
    conduct::Conduct,
    jasmine_platform_stand_in::KvStandIn,
    nix::sys::signal::Signal,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    routes::{SERVICES, config},
    std::{
        collections::HashMap,
        fs, thread,
        time::{Duration, Instant},
    },
    streams::check_streams,
    upstream::SiteUpstream,
    vm::SiteVm,
};

pub const VMS: usize = 7;
const DATA_CENTRES: [&str; 3] = ["north", "central", "south"];
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// How long VMs may take to stop and start again.
const MAX_RECOVERY: Duration = Duration::from_secs(12);
/// Requests of a route that are served, at least.
const MIN_SERVED: usize = 3;

/// All processes and stand-ins of a run.
struct Site {
    store: KvStandIn,
    vms: Vec<SiteVm>,
    upstreams: Vec<SiteUpstream>,
    /// The last version of the configuration.
    version: u64,
    began: Instant,
    /// What was done so far, for the logs.
    actions: Vec<String>,
}

/// Runs a seed and returns what it has broken.
pub fn run_site(
    seed: u64,
    length: Duration,
    vms: usize,
) -> Vec<String> {
    let mut site = Site::start(seed, vms);
    let addresses: Vec<_> = site.vms.iter().map(SiteVm::address).collect();
    let clients = Clients::start(&addresses);
    site.run(plan(seed, length, vms), length);
    site.recover();
    let records = clients.finish();
    let mut violations = site.check(&records);
    if !violations.is_empty() {
        violations.push(site.save_logs(seed));
    }
    violations
}

impl Site {
    fn start(
        seed: u64,
        vms: usize,
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &config(1));
        let mut upstreams = Vec::new();
        for service in &SERVICES {
            for number in 0..service.upstreams {
                let number_of_all = upstreams.len() as u64;
                let rng = ChaCha8Rng::seed_from_u64(seed ^ number_of_all << 32);
                let upstream = SiteUpstream::start(service, number, rng);
                let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
                store.put(&upstream.key(), &upstream.entry(data_centre));
                upstreams.push(upstream);
            }
        }
        let start_vm = |number: usize| {
            let name = format!("site-{}-{seed}-{number}", std::process::id());
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            SiteVm::start(store.address(), name, data_centre)
        };
        let vms: Vec<SiteVm> = (0..vms).map(start_vm).collect();
        wait_until("all are ready", || vms.iter().all(SiteVm::is_ready));
        Self {
            store,
            vms,
            upstreams,
            version: 1,
            began: Instant::now(),
            actions: Vec::new(),
        }
    }

    fn run(
        &mut self,
        plan: Vec<(Duration, Action)>,
        length: Duration,
    ) {
        self.began = Instant::now();
        let mut actions = plan.into_iter().peekable();
        while self.began.elapsed() < length {
            while let Some((_, action)) = actions.next_if(|(at, _)| *at <= self.began.elapsed()) {
                self.perform(action);
            }
            for upstream in &mut self.upstreams {
                upstream.step();
            }
            self.step_vms();
            thread::sleep(STEP_INTERVAL);
        }
    }

    fn perform(
        &mut self,
        action: Action,
    ) {
        let at = self.began.elapsed();
        self.actions.push(format!("{at:?} {action:?}"));
        match action {
            Action::Configure => {
                self.version += 1;
                self.store.put("op/config", &config(self.version));
            }
            Action::Hangup(vm) => self.vms[vm].signal(Signal::SIGHUP),
            Action::Stop(vm) => self.vms[vm].stop(Signal::SIGTERM),
            Action::Kill(vm) => self.vms[vm].stop(Signal::SIGKILL),
        }
    }

    fn step_vms(&mut self) {
        for vm in &mut self.vms {
            vm.step(self.store.address());
        }
    }

    /// All upstreams are sound from now on, and the VMs that were stopped start again.
    fn recover(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.set_conduct(Conduct::Sound);
        }
        let began = Instant::now();
        while began.elapsed() < MAX_RECOVERY && !self.vms.iter().all(SiteVm::is_running) {
            self.step_vms();
            thread::sleep(STEP_INTERVAL);
        }
    }

    fn check(
        &mut self,
        records: &[Record],
    ) -> Vec<String> {
        let mut violations: Vec<String> =
            self.vms.iter_mut().filter_map(SiteVm::await_log).collect();
        let logs: Vec<VmLog> = self
            .vms
            .iter()
            .map(|vm| VmLog::read(&vm.whole_log()))
            .collect();
        violations.extend(logs.iter().flat_map(|log| log.panics.clone()));
        violations.extend(self.vms.iter().filter_map(SiteVm::own_end));
        let runs = self.runs();
        let runs_of = |record: &Record| runs.get(&record.id).copied().unwrap_or_default();
        let checked = records
            .iter()
            .filter_map(|record| check_runs(record, runs_of(record)));
        violations.extend(checked);
        violations.extend(check_streams(records));
        violations.extend(check_served(records));
        violations.extend(check_answers(self, &logs, records));
        violations
    }

    /// How often each request ran.
    fn runs(&self) -> HashMap<String, u32> {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for id in self.upstreams.iter().flat_map(SiteUpstream::executed_ids) {
            *runs.entry(id).or_default() += 1;
        }
        runs
    }

    /// Saves the logs of a failed seed; returns where.
    fn save_logs(
        &self,
        seed: u64,
    ) -> String {
        let path =
            std::env::temp_dir().join(format!("jasmine-site-{seed}-{}.log", std::process::id()));
        let upstreams: Vec<String> = self
            .upstreams
            .iter()
            .map(|upstream| upstream.history(self.began))
            .collect();
        let logs: String = self.vms.iter().map(SiteVm::whole_log).collect();
        let parts = [self.actions.join("\n"), upstreams.join("\n"), logs];
        fs::write(&path, parts.join("\n")).unwrap();
        format!("logs of seed {seed}: {}", path.display())
    }
}

/// Some requests of each route are served.
fn check_served(records: &[Record]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut counts = Vec::new();
    for route in &routes::ROUTES {
        let of_route = || {
            records
                .iter()
                .filter(|record| record.target == route.target)
        };
        let served = of_route().filter(|record| record.is_served()).count();
        counts.push(format!("{} {served} of {}", route.name, of_route().count()));
        if served < MIN_SERVED {
            violations.push(format!("{served} requests served of {}", route.name));
        }
    }
    println!("served: {}", counts.join(", "));
    violations
}
