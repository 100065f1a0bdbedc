//! Connections that callers keep open: idle time-outs, pipelined requests, planned stops.

mod deployment;

use {
    deployment::{Request, Vm, config, read_response, start_platform, wait_until},
    jasmine_platform_stand_in::{Behaviour, KvStandIn},
    nix::sys::signal::Signal,
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// Callers whose next request waits behind a running one: as many as an upstream serves at once.
const PIPELINING_CALLERS: usize = 6;

fn put_idle_timeout(
    store: &KvStandIn,
    version: u64,
    idle_ms: u64,
) {
    let mut config = config(version);
    config["limits"]["idle_timeout_ms"] = idle_ms.into();
    store.put("op/config", &config);
}

fn wait_for_config(
    vm: &Vm,
    version: u64,
) {
    let taken = format!(" version={version} ");
    wait_until("the configuration is in force", || {
        let lines = vm.log_lines("config_taken");
        lines.iter().any(|line| line.contains(&taken))
    });
}

fn connect(vm: &Vm) -> TcpStream {
    let stream = TcpStream::connect(vm.callers).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream
}

fn call(stream: &mut TcpStream) -> Option<u16> {
    // A closed connection shows as a missing response.
    drop(stream.write_all(&Request::new("GET", "/read/").bytes()));
    read_response(stream).map(|response| response.status)
}

/// Reads responses with `Content-Length` until the connection closes, and returns their statuses.
fn read_statuses(stream: &mut TcpStream) -> Vec<u16> {
    let mut bytes = Vec::new();
    // A reset ends what was received like a close.
    drop(stream.read_to_end(&mut bytes));
    let mut text = String::from_utf8(bytes).unwrap();
    let mut statuses = Vec::new();
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        let status = head.split(' ').nth(1).unwrap();
        statuses.push(status.parse().unwrap());
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("Content-Length: "));
        text = rest[length.unwrap().parse().unwrap()..].to_owned();
    }
    statuses
}

#[test]
fn a_longer_idle_timeout_holds_at_once() {
    // Guards against closing an idle connection that its caller may reuse by the configuration in force.
    let (store, _upstreams) = start_platform(&["s-1"]);
    put_idle_timeout(&store, 2, 1_000);
    let vm = Vm::start(&store);
    wait_for_config(&vm, 2);
    let mut idle = connect(&vm);
    assert_eq!(call(&mut idle), Some(200));
    let idle_since = Instant::now();
    put_idle_timeout(&store, 3, 5_000);
    wait_for_config(&vm, 3);
    thread::sleep(Duration::from_secs(2).saturating_sub(idle_since.elapsed()));
    assert_eq!(call(&mut idle), Some(200));
}

#[test]
fn an_idle_timeout_that_held_during_an_answer_counts() {
    // Guards against closing an idle connection whose caller knows a longer idle time-out that was replaced meanwhile.
    let (store, upstreams) = start_platform(&["s-1"]);
    put_idle_timeout(&store, 2, 500);
    let vm = Vm::start(&store);
    wait_for_config(&vm, 2);
    upstreams[0].set_default(Behaviour::Slow(Duration::from_secs(4)));
    let mut idle = connect(&vm);
    idle.write_all(&Request::new("GET", "/read/").bytes())
        .unwrap();
    let sent = Instant::now();
    wait_until("it runs", || !upstreams[0].arrivals().is_empty());
    for (version, idle_ms) in [(3, 5_000), (4, 500)] {
        put_idle_timeout(&store, version, idle_ms);
        wait_for_config(&vm, version);
    }
    assert!(
        sent.elapsed() < Duration::from_secs(3),
        "both during the answer"
    );
    let status = read_response(&mut idle).map(|response| response.status);
    assert_eq!(status, Some(200));
    thread::sleep(Duration::from_millis(1_500));
    upstreams[0].set_default(Behaviour::Answer(b"ok".to_vec()));
    assert_eq!(call(&mut idle), Some(200));
}

#[test]
fn a_shorter_idle_timeout_spares_idle_connections() {
    // Guards against closing an idle connection whose caller knows only the longer idle time-out before.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let mut idle = connect(&vm);
    assert_eq!(call(&mut idle), Some(200));
    put_idle_timeout(&store, 2, 500);
    wait_for_config(&vm, 2);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(call(&mut idle), Some(200));
}

#[test]
fn an_idle_connection_is_closed() {
    let (store, _upstreams) = start_platform(&["s-1"]);
    put_idle_timeout(&store, 2, 500);
    let vm = Vm::start(&store);
    wait_for_config(&vm, 2);
    let mut idle = connect(&vm);
    assert_eq!(call(&mut idle), Some(200));
    let idle_since = Instant::now();
    assert!(read_response(&mut idle).is_none());
    let idle_for = idle_since.elapsed();
    assert!(
        (400..2_000).contains(&idle_for.as_millis()),
        "closed after {idle_for:?}"
    );
}

#[test]
fn a_pipelined_request_is_answered_when_a_stop_closes_connections() {
    // Guards against dropping a request that arrived behind a running one when a planned stop closes idle connections.
    let (store, upstreams) = start_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::Slow(Duration::from_millis(3_500)));
    let mut callers: Vec<TcpStream> = (0..PIPELINING_CALLERS).map(|_| connect(&vm)).collect();
    for caller in &mut callers {
        let first = Request::new("POST", "/write/").body(b"first").bytes();
        let second = Request::new("POST", "/write/").body(b"second").bytes();
        caller.write_all(&[first, second].concat()).unwrap();
    }
    wait_until("the first requests run", || {
        upstreams[0].executed().len() == PIPELINING_CALLERS
    });
    vm.signal(Signal::SIGTERM);
    for caller in &mut callers {
        assert_eq!(read_statuses(caller), [200, 503]);
    }
    assert!(vm.wait_for_exit().success());
}

#[test]
fn a_pipelined_request_is_answered_during_a_stop() {
    // Guards against dropping a request that arrived with one whose response closes the connection.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    vm.signal(Signal::SIGTERM);
    wait_until("the readiness probe fails", || !vm.is_ready());
    let mut caller = connect(&vm);
    let both = [(); 2].map(|()| Request::new("GET", "/read/").bytes());
    caller.write_all(&both.concat()).unwrap();
    assert_eq!(read_statuses(&mut caller), [200, 200]);
}
