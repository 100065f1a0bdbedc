//! Streams beside upstreams of several software versions.

use {
    super::{Event, Request, TIMEOUT, Vm, config, parse_events},
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::TcpStream,
    },
};

/// Events of a whole stream.
pub const EVENTS: u64 = 8;
/// Events before a stream breaks off.
pub const BROKEN_AFTER: u64 = 3;

pub fn builds_of(events: &[Event]) -> BTreeSet<&str> {
    events.iter().map(|event| event.build.as_str()).collect()
}

pub fn ids_of(events: &[Event]) -> Vec<u64> {
    events.iter().map(|event| event.id).collect()
}

/// A store, and upstreams of these software versions.
pub fn start_builds(builds: &[&str]) -> (KvStandIn, Vec<UpstreamStandIn>) {
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config(1));
    let ids = (0..builds.len()).map(|number| format!("s-{number}"));
    let upstreams = ids
        .zip(builds)
        .map(|(id, build)| join_service(&store, &id, build));
    let upstreams = upstreams.collect();
    (store, upstreams)
}

/// Starts an upstream of a software version and registers it.
pub fn join_service(
    store: &KvStandIn,
    id: &str,
    build: &str,
) -> UpstreamStandIn {
    let upstream = UpstreamStandIn::start(id).unwrap();
    upstream.set_build(build);
    store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
    upstream
}

pub fn set_all(
    upstreams: &[UpstreamStandIn],
    behaviour: &Behaviour,
) {
    for upstream in upstreams {
        upstream.set_default(behaviour.clone());
    }
}

pub fn new_stream() -> Request {
    Request::new("POST", "/stream/").body(b"prompt")
}

/// The next attempt of a caller that has received events of `first` up to `last`.
pub fn resume(
    first: &Request,
    last: u64,
) -> Request {
    new_stream()
        .with("Last-Event-Id", &last.to_string())
        .with("Resumes", first.id())
}

/// Opens a stream and reads its first events.
pub fn open_stream(
    vm: &Vm,
    req: &Request,
) -> (TcpStream, Vec<Event>) {
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&req.bytes()).unwrap();
    let mut text = String::new();
    let mut buf = [0_u8; 1_024];
    let last = format!("data: piece-{BROKEN_AFTER}\n\n");
    while !text.contains(&last) {
        let n = stream.read(&mut buf).unwrap();
        assert!(n > 0, "the stream ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    // The chunk sizes stand on lines of their own.
    let lines = body.split("\r\n").filter(|part| part.contains("data:"));
    (stream, parse_events(&lines.collect::<String>()))
}
