//! A small VM whose upstreams nearly all send bytes without end that are no answer.

mod deployment;

use {
    deployment::{Request, TIMEOUT, Vm, config, read_response, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, KvStandIn, Pace, UpstreamStandIn},
    serde_json::json,
    std::{
        collections::HashSet,
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    tokio::net::TcpSocket,
};

/// Upstreams that babble.
const UPSTREAMS: usize = 156;
/// Callers of these.
const CALLERS: usize = 2 * UPSTREAMS;
/// How long they send requests.
const TIME: Duration = Duration::from_secs(8);
/// How fast each exchange gets bytes; together the VM's link of 1 Gbit/s.
const PACE: Pace = Pace {
    bytes: 4 << 10,
    interval: Duration::from_millis(10),
};
/// Memory of the VM, in megabytes.
const MEMORY_MB: u64 = 160;
/// Most resident memory, in megabytes; unread bytes of its connections take of the rest.
const MAX_RESIDENT_MB: u64 = 120;
/// The service, and the route, of the sound upstream.
const SOUND: &str = "sound";
/// Pause between two calls of the sound upstream, and two looks at the memory.
const INTERVAL: Duration = Duration::from_millis(20);

/// A configuration with a route to a service of its own that has sound upstreams.
fn config_with_sound() -> serde_json::Value {
    let mut config = config(1);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(SOUND);
    route["path_prefix"] = json!(format!("/{SOUND}/"));
    route["service"] = json!(SOUND);
    config["routes"].as_array_mut().unwrap().push(route);
    let service = json!({"name": SOUND, "health_path": "/healthz", "max_conns": 100});
    config["services"].as_array_mut().unwrap().push(service);
    config
}

fn start_upstreams(
    store: &KvStandIn,
    babbles: &[BabbleAt],
    pace: Pace,
) -> Vec<UpstreamStandIn> {
    let start = |number: usize| {
        let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
        let at = babbles[number % babbles.len()];
        upstream.set_default(Behaviour::Babble(Babble { at, pace }));
        store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
        upstream
    };
    (0..UPSTREAMS).map(start).collect()
}

fn start_small_vm(store: &KvStandIn) -> Vm {
    let vm = Vm::start_with_settings(store.address(), "vm-babble", |settings| {
        settings["size"] = json!({"memory_mb": MEMORY_MB});
    });
    wait_until("the daemon is ready", || vm.is_ready());
    vm
}

/// A value of a process's status, in megabytes.
fn status_mb(
    vm: &Vm,
    name: &str,
) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", vm.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    let kb: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb >> 10
}

/// Bytes that the sockets of a process have received and it has not read, in megabytes.
fn unread_mb(vm: &Vm) -> u64 {
    let dir = fs::read_dir(format!("/proc/{}/fd", vm.pid())).unwrap();
    let targets = dir.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let sockets: HashSet<String> = targets
        .filter_map(|target| {
            let target = target.to_string_lossy().into_owned();
            let inode = target.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(inode.to_owned())
        })
        .collect();
    let table = fs::read_to_string(format!("/proc/{}/net/tcp", vm.pid())).unwrap();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // A listener's queue counts connections.
        let is_open = fields[3] != "0A" && sockets.contains(fields[9]);
        let (_, unread) = fields[4].split_once(':').filter(|_| is_open)?;
        u64::from_str_radix(unread, 16).ok()
    });
    unread.sum::<u64>() >> 20
}

/// Sends a request and reads its response, which may be an endless stream, without keeping it.
fn discard_response(
    vm: &Vm,
    request: &Request,
) {
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(TIMEOUT)).unwrap();
    if caller.write_all(&request.bytes()).is_ok() {
        let mut buf = [0; 16 << 10];
        while caller.read(&mut buf).is_ok_and(|n| n > 0) {}
    }
}

/// What a VM took, and what became of calls of a sound upstream meanwhile.
#[derive(Debug, Default)]
struct Seen {
    peak_mb: u64,
    unread_mb: u64,
    sent: usize,
    served: usize,
    longest: Duration,
}

/// Lets many callers send requests to babbling upstreams for a while.
fn play(
    target: &str,
    babbles: &[BabbleAt],
    pace: Pace,
) -> Seen {
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_sound());
    let upstreams = start_upstreams(&store, babbles, pace);
    let sound = UpstreamStandIn::start("sound-1").unwrap();
    store.put(&sound.key(), &sound.entry(SOUND, "one", "ready"));
    let vm = start_small_vm(&store);
    // A VM whose tasks are late takes no new connections.
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(TIMEOUT)).unwrap();
    let until = Instant::now() + TIME;
    let send_all = || {
        while Instant::now() < until {
            let request = Request::new("GET", target).with("X-Deadline-Ms", "2000");
            discard_response(&vm, &request.with("Connection", "close"));
        }
    };
    let mut seen = Seen::default();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(send_all);
        }
        scope.spawn(|| {
            let mut most = 0;
            while Instant::now() < until {
                most = most.max(unread_mb(&vm));
                thread::sleep(INTERVAL);
            }
            seen.unread_mb = most;
        });
        while Instant::now() < until {
            let sent_at = Instant::now();
            let request = Request::new("GET", &format!("/{SOUND}/"));
            seen.sent += 1;
            caller.write_all(&request.bytes()).unwrap();
            let response = read_response(&mut caller);
            seen.served += usize::from(response.is_some_and(|response| response.status == 200));
            seen.longest = seen.longest.max(sent_at.elapsed());
            thread::sleep(INTERVAL);
        }
    });
    seen.peak_mb = status_mb(&vm, "VmHWM:");
    let exchanges: usize = upstreams.iter().map(|it| it.arrivals().len()).sum();
    println!("{target} {babbles:?}: {exchanges} exchanges, {seen:?}");
    assert!(exchanges > UPSTREAMS, "{exchanges}");
    seen
}

fn assert_bounded(seen: &Seen) {
    assert!(seen.peak_mb < MAX_RESIDENT_MB, "{seen:?}");
    assert!(seen.sent > 0 && seen.served == seen.sent, "{seen:?}");
}

#[test]
fn heads_of_all_upstreams_are_bounded() {
    // Guards against heads without end of many upstreams that together take the memory of a small VM.
    let babbles = [
        BabbleAt::HeaderLine,
        BabbleAt::HeaderLines,
        BabbleAt::InterimResponses,
        BabbleAt::OtherResponses,
        BabbleAt::OtherBody,
    ];
    assert_bounded(&play("/read/", &babbles, PACE));
}

#[test]
fn bodies_of_all_upstreams_are_bounded() {
    // Guards against bodies without end of many upstreams that together take the memory of a small VM.
    let babbles = [
        BabbleAt::BodyUntilClose,
        BabbleAt::LongBody,
        BabbleAt::FailureBody,
        BabbleAt::RefusalBody,
        BabbleAt::AfterAnswer,
        BabbleAt::Trailers(1),
        BabbleAt::ChunkExtensions(1),
    ];
    assert_bounded(&play("/read/", &babbles, Pace::FULL));
}

#[test]
fn streams_of_all_upstreams_are_bounded() {
    // Guards against events without end of many upstreams that together take the memory of a small VM.
    let babbles = [
        BabbleAt::Event(1),
        BabbleAt::Event(0),
        BabbleAt::Comments(1),
        BabbleAt::KnownEvents(1),
        BabbleAt::EventsWithoutId(1),
        BabbleAt::ChunkSize(1),
    ];
    assert_bounded(&play("/stream/", &babbles, PACE));
    assert_bounded(&play("/once/", &babbles, PACE));
}

/// Opens a connection whose buffers take little.
fn connect_silent(address: SocketAddr) -> TcpStream {
    actix_rt::System::new().block_on(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let stream = socket.connect(address).await.unwrap().into_std().unwrap();
        stream.set_nonblocking(false).unwrap();
        stream
    })
}

/// The length of a long event.
const LONG_EVENT: usize = 900_000;
/// Upstreams that send such events.
const STREAMING_UPSTREAMS: usize = 40;
/// Callers that don't read what they get.
const SILENT_CALLERS: usize = 220;
/// Time between the requests of two of them.
const CALLER_INTERVAL: Duration = Duration::from_millis(100);

#[test]
fn long_events_for_silent_callers_are_bounded() {
    // Guards against events of many streams that are held for callers that don't read them.
    let store = KvStandIn::start().unwrap();
    let mut config = config_with_sound();
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(30_000);
    }
    store.put("op/config", &config);
    let pace = Pace {
        bytes: LONG_EVENT,
        interval: Duration::from_millis(1),
    };
    let at = BabbleAt::EventsWithoutId(0);
    let upstreams: Vec<_> = (0..STREAMING_UPSTREAMS)
        .map(|number| UpstreamStandIn::start(&format!("s-{number}")).unwrap())
        .collect();
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Babble(Babble { at, pace }));
        store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
    }
    let sound = UpstreamStandIn::start("sound-1").unwrap();
    store.put(&sound.key(), &sound.entry(SOUND, "one", "ready"));
    let vm = start_small_vm(&store);
    let request = Request::new("GET", "/once/").with("X-Deadline-Ms", "30000");
    let callers: Vec<_> = (0..SILENT_CALLERS)
        .map(|_| {
            let mut caller = connect_silent(vm.callers);
            caller.write_all(&request.bytes()).unwrap();
            // One after the other, as the budget for partial events ends streams that begin at once.
            thread::sleep(CALLER_INTERVAL);
            caller
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(3);
    let mut served = Vec::new();
    while Instant::now() < until {
        let response = vm.send_request(&Request::new("GET", &format!("/{SOUND}/")));
        served.push(response.status);
        thread::sleep(INTERVAL);
    }
    drop(callers);
    let peak_mb = status_mb(&vm, "VmHWM:");
    println!("long events: {peak_mb} MB, {} calls", served.len());
    assert!(peak_mb < MAX_RESIDENT_MB, "{peak_mb} MB");
    assert!(served.iter().all(|&status| status == 200), "{served:?}");
}
