//! A load balancer that sends the callers of all VMs to one of them.

mod deployment;

use {
    deployment::{Request, Vm, read_response, start_platform, start_vms, wait_until},
    jasmine_platform_stand_in::KvStandIn,
    nix::sys::resource::{Resource, getrlimit, setrlimit},
    std::{
        io::Write,
        net::TcpStream,
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Files that the VM may open.
const FILES: u64 = 300;
/// Connections that callers keep open without sending anything.
const IDLE_CONNECTIONS: usize = 400;
/// How long a caller leaves a request unread.
const MAX_UNREAD: Duration = Duration::from_secs(1);
const CALLERS: usize = 40;
const TIME: Duration = Duration::from_secs(3);

/// Held while VMs start, as the limit on files is one of the whole test process.
static STARTING: Mutex<()> = Mutex::new(());

/// Starts a VM that may open few files.
fn start_small(store: &KvStandIn) -> Vm {
    let _starting = STARTING.lock().unwrap();
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    // A process inherits the limit that holds when it starts.
    setrlimit(Resource::RLIMIT_NOFILE, FILES, hard).unwrap();
    let vm = Vm::start(store);
    setrlimit(Resource::RLIMIT_NOFILE, soft.max(4_096).min(hard), hard).unwrap();
    vm
}

/// Sends a request on a new connection; `None` if it was closed unread.
fn call(vm: &Vm) -> Option<bool> {
    let mut stream = TcpStream::connect(vm.callers).ok()?;
    stream.set_read_timeout(Some(deployment::TIMEOUT)).unwrap();
    stream
        .write_all(&Request::new("GET", "/read/").bytes())
        .ok()?;
    read_response(&mut stream).map(|response| response.status == 200)
}

/// Calls a VM on new connections by several callers; returns the results of those that were read.
fn call_for(
    vm: &Vm,
    time: Duration,
) -> Vec<bool> {
    let until = Instant::now() + time;
    let run = || {
        let mut results = Vec::new();
        while Instant::now() < until {
            results.extend(call(vm));
            thread::sleep(Duration::from_millis(20));
        }
        results
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(run)).collect();
        let results = callers.into_iter();
        results.flat_map(|caller| caller.join().unwrap()).collect()
    })
}

fn count_served(results: &[bool]) -> usize {
    results.iter().filter(|&&is_served| is_served).count()
}

#[test]
fn a_vm_without_free_files_turns_callers_away() {
    // Guards against callers that wait unread at a VM whose files are used up, and that another VM could serve.
    let (store, _upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = start_small(&store);
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| TcpStream::connect(vm.callers).ok())
        .collect();
    for _ in 0..20 {
        let began = Instant::now();
        let result = call(&vm);
        let took = began.elapsed();
        assert!(took < MAX_UNREAD, "{result:?} after {took:?}");
    }
    drop(idle);
    wait_until("new callers are served", || call(&vm) == Some(true));
    let results = call_for(&vm, TIME);
    let served = count_served(&results);
    assert!(
        served * 4 >= results.len() * 3,
        "{served} of {}",
        results.len()
    );
}

#[test]
fn one_vm_serves_the_callers_of_all() {
    // Guards against callers that fail as most of them reach the same VM.
    let (store, _upstreams) = start_platform(&["s-1", "s-2", "s-3"]);
    let vms = {
        let _starting = STARTING.lock().unwrap();
        start_vms(&store, "herd")
    };
    for vm in [&vms[1], &vms[0]] {
        let results = call_for(vm, TIME);
        let served = count_served(&results);
        assert!(results.len() > CALLERS, "{} requests read", results.len());
        assert!(
            served * 4 >= results.len() * 3,
            "{served} of {}",
            results.len()
        );
    }
}
