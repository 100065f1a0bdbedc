//! The planned stop of a VM by SIGTERM.

mod deployment;

use {
    deployment::{Request, Vm, platform, until},
    jasmine_platform_stand_in::Behaviour,
    nix::sys::signal::Signal,
    std::{io::Write, net::TcpStream, thread, time::Duration},
};

#[test]
fn a_stop_breaks_nothing_off() {
    // Guards against cutting off running requests, and those that the load balancer still sends, on a planned stop.
    let (store, upstreams) = platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Slow(Duration::from_millis(1_500)));
    let callers = vm.callers;
    let slow = Request::new("POST", "/write/").body(b"enrol");
    let running = thread::spawn(move || deployment::exchange(callers, &slow.bytes()));
    until("the request runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    until("the readiness probe fails", || !vm.is_ready());
    let during = vm.ask(&Request::new("GET", "/read/"));
    assert_eq!(during.status, 200);
    assert_eq!(during.header("connection").as_deref(), Some("close"));
    let answer = running.join().unwrap().expect("a response");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(vm.ended().success());
}

#[test]
fn what_comes_too_late_goes_elsewhere() {
    // Guards against starting a request so late that the exit of the process would cut it off.
    let (store, upstreams) = platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Slow(Duration::from_millis(4_500)));
    let callers = vm.callers;
    let slow = Request::new("POST", "/write/").body(b"enrol");
    let running = thread::spawn(move || deployment::exchange(callers, &slow.bytes()));
    until("the request runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(3_300));
    let late = vm.ask(&Request::new("POST", "/write/").body(b"late"));
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    assert_eq!(upstreams[0].executed().len(), 1);
    assert_eq!(running.join().unwrap().expect("a response").status, 200);
    assert!(vm.ended().success());
}

#[test]
fn what_waits_is_sent_elsewhere() {
    // Guards against closing the connection of a request that still waits for an upstream without a response.
    let (store, _upstreams) = platform(&["s-1"]);
    let mut long_timeouts = deployment::config(2);
    for route in long_timeouts["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 15_000.into();
    }
    store.put("op/config", &long_timeouts);
    let mut vm = Vm::start(&store);
    vm.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(1_500));
    let waiting_request = Request::new("POST", "/model/")
        .with("X-Deadline-Ms", "15000")
        .with("X-Model", "base/a1")
        .with("X-Token-Counts", "100,10")
        .body(b"prompt");
    let answer = vm.send(&waiting_request.bytes()).expect("a response");
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("shutting_down"), "{}", answer.text());
    assert!(answer.header("retry-after").is_some());
    assert!(vm.ended().success());
    assert_eq!(vm.logged("stopped").len(), 1);
    assert!(vm.log().contains("event=stopped cut=0"), "{}", vm.log());
}

#[test]
fn an_idle_connection_ends_without_an_answer() {
    let (store, _upstreams) = platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    let mut idle = TcpStream::connect(vm.callers).unwrap();
    idle.write_all(&Request::new("GET", "/read/").bytes())
        .unwrap();
    assert_eq!(deployment::read_answer(&mut idle).unwrap().status, 200);
    vm.signal(Signal::SIGTERM);
    assert!(deployment::read_answer(&mut idle).is_none());
    assert!(vm.ended().success());
    until("the stop is logged", || !vm.logged("stopped").is_empty());
}

#[test]
fn the_lead_goes_with_the_stop() {
    // Guards against a planned restart of the leader delaying adapter loads until its lease expires.
    let (store, _upstreams) = platform(&["s-1"]);
    let first = Vm::start(&store);
    until("a VM leads", || !first.logged("lead_taken").is_empty());
    let second = Vm::start(&store);
    until("the other follows", || {
        !second.logged("leader_followed").is_empty()
    });
    first.signal(Signal::SIGTERM);
    let began = std::time::Instant::now();
    until("the other leads", || {
        !second.logged("lead_taken").is_empty()
    });
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(second.ask(&Request::new("GET", "/read/")).status, 200);
}
