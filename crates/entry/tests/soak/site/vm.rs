use {
    super::outage::Outage,
    crate::deployment::Vm,
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// How late a VM may be in doing what a signal asks.
const MAX_LATE: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where clients reach a VM; changes as it starts again.
pub type VmAddress = Arc<Mutex<SocketAddr>>;

/// A VM whose process starts again when it ends.
pub struct SiteVm {
    name: String,
    data_centre: &'static str,
    vm: Option<Vm>,
    address: VmAddress,
    seen_running: Instant,
    pub outages: Vec<Outage>,
    /// Whether its process has ended by itself.
    has_ended: bool,
    log: String,
}

impl SiteVm {
    pub fn start(
        store: SocketAddr,
        name: String,
        data_centre: &'static str,
    ) -> Self {
        let vm = start_vm(store, &name, data_centre);
        Self {
            name,
            data_centre,
            address: Arc::new(Mutex::new(vm.callers)),
            vm: Some(vm),
            seen_running: Instant::now(),
            outages: Vec::new(),
            has_ended: false,
            log: String::new(),
        }
    }

    pub fn address(&self) -> VmAddress {
        Arc::clone(&self.address)
    }

    pub fn is_ready(&self) -> bool {
        self.vm.as_ref().is_some_and(Vm::is_ready)
    }

    /// Whether it runs and isn't being stopped.
    pub fn is_running(&self) -> bool {
        !self.is_stopping() && self.vm.is_some()
    }

    fn is_stopping(&self) -> bool {
        self.outages.iter().any(Outage::lasts)
    }

    pub fn signal(
        &mut self,
        signal: Signal,
    ) {
        if let Some(vm) = &mut self.vm
            && !vm.has_exited()
        {
            vm.signal(signal);
        }
    }

    /// Ends its process, which starts again.
    pub fn stop(
        &mut self,
        signal: Signal,
    ) {
        // It may be killed while it is being stopped.
        self.outages.push(Outage {
            is_killed: signal == Signal::SIGKILL,
            signalled: Instant::now(),
            down_from: None,
            up_at: None,
        });
        self.signal(signal);
    }

    /// Starts its process again if it has ended.
    pub fn step(
        &mut self,
        store: SocketAddr,
    ) {
        let now = Instant::now();
        let has_exited = self.vm.as_mut().map(Vm::has_exited);
        match has_exited {
            Some(false) => self.seen_running = now,
            Some(true) => {
                self.log = self.whole_log();
                self.vm = None;
                self.has_ended |= !self.is_stopping();
                for outage in self.outages.iter_mut().filter(|outage| outage.lasts()) {
                    outage.down_from.get_or_insert(self.seen_running);
                }
            }
            None if now >= self.seen_running + RESTART_DELAY => {
                let vm = start_vm(store, &self.name, self.data_centre);
                *self.address.lock().unwrap() = vm.callers;
                self.vm = Some(vm);
                for outage in &mut self.outages {
                    outage.up_at.get_or_insert_with(Instant::now);
                }
            }
            None => {}
        }
    }

    pub fn own_end(&self) -> Option<String> {
        self.has_ended
            .then(|| format!("{} has ended by itself", self.name))
    }

    /// Waits until the lines of requests that have ended are written, which come before that of a SIGHUP; returns what
    /// keeps it from that.
    pub fn await_log(&mut self) -> Option<String> {
        let Some(vm) = &mut self.vm else {
            return Some(format!("{} is down", self.name));
        };
        let count = || vm.log().matches("event=reload_asked").count();
        let before = count();
        vm.signal(Signal::SIGHUP);
        let began = Instant::now();
        while count() == before {
            if began.elapsed() > MAX_LATE {
                return Some(format!("{} didn't heed a SIGHUP", self.name));
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    pub fn whole_log(&self) -> String {
        self.log.clone() + &self.vm.as_ref().map_or_else(String::new, Vm::log)
    }
}

fn start_vm(
    store: SocketAddr,
    name: &str,
    data_centre: &str,
) -> Vm {
    Vm::start_with_settings(store, name, |settings| {
        settings["data_centre"] = json!(data_centre);
    })
}
