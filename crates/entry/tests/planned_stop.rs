//! The planned stop of a VM by SIGTERM.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::Behaviour,
    nix::sys::signal::Signal,
    std::{io::Write, net::TcpStream, thread, time::Duration},
};

#[test]
fn a_planned_stop_completes_running_requests() {
    // Guards against cutting off running requests, and those that the load balancer still sends, on a planned stop.
    let (store, upstreams) = start_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Slow(Duration::from_millis(1_500)));
    let callers = vm.callers;
    let slow = Request::new("POST", "/write/").body(b"enrol");
    let running = thread::spawn(move || deployment::exchange(callers, &slow.bytes()));
    wait_until("the request runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    wait_until("the readiness probe fails", || !vm.is_ready());
    let during = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!(during.status, 200);
    assert_eq!(during.header("connection").as_deref(), Some("close"));
    let response = running.join().unwrap().expect("a response");
    assert_eq!((response.status, response.is_complete), (200, true));
    assert!(vm.wait_for_exit().success());
}

#[test]
fn a_late_request_is_refused_during_a_stop() {
    // Guards against starting a request so late that the exit of the process would cut it off.
    let (store, upstreams) = start_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Slow(Duration::from_millis(4_500)));
    let callers = vm.callers;
    let slow = Request::new("POST", "/write/").body(b"enrol");
    let running = thread::spawn(move || deployment::exchange(callers, &slow.bytes()));
    wait_until("the request runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(3_300));
    let late = vm.send_request(&Request::new("POST", "/write/").body(b"late"));
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    assert_eq!(upstreams[0].executed().len(), 1);
    assert_eq!(running.join().unwrap().expect("a response").status, 200);
    assert!(vm.wait_for_exit().success());
}

#[test]
fn waiting_requests_are_refused_before_exit() {
    // Guards against closing the connection of a request that still waits for an upstream without a response.
    let (store, _upstreams) = start_platform(&["s-1"]);
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
    let response = vm.send_raw(&waiting_request.bytes()).expect("a response");
    assert_eq!(response.status, 503, "{}", response.text());
    assert!(
        response.text().contains("shutting_down"),
        "{}",
        response.text()
    );
    assert!(response.header("retry-after").is_some());
    assert!(vm.wait_for_exit().success());
    assert_eq!(vm.log_lines("stopped").len(), 1);
    assert!(vm.log().contains("event=stopped cut=0"), "{}", vm.log());
}

#[test]
fn idle_connections_are_closed_on_stop() {
    let (store, _upstreams) = start_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    let mut idle = TcpStream::connect(vm.callers).unwrap();
    idle.write_all(&Request::new("GET", "/read/").bytes())
        .unwrap();
    assert_eq!(deployment::read_response(&mut idle).unwrap().status, 200);
    vm.signal(Signal::SIGTERM);
    assert!(deployment::read_response(&mut idle).is_none());
    assert!(vm.wait_for_exit().success());
    wait_until("the stop is logged", || !vm.log_lines("stopped").is_empty());
}

#[test]
fn a_stopping_leader_is_replaced() {
    // Guards against a planned restart of the leader delaying adapter loads until its lease expires.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let first = Vm::start(&store);
    wait_until("a VM leads", || !first.log_lines("lead_taken").is_empty());
    let second = Vm::start(&store);
    wait_until("the other follows", || {
        !second.log_lines("leader_followed").is_empty()
    });
    first.signal(Signal::SIGTERM);
    let began = std::time::Instant::now();
    wait_until("the other leads", || {
        !second.log_lines("lead_taken").is_empty()
    });
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        second.send_request(&Request::new("GET", "/read/")).status,
        200
    );
}
