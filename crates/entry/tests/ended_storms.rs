//! Sound requests in storms of upstreams that end, whatever they run, and beside requests that end them.

mod deployment;

use {
    deployment::{
        Request, Vm,
        ending_site::{DEADLY, Kind, Site, own_body},
        start_platform, start_vms,
    },
    jasmine_platform_stand_in::{Behaviour, EndAt},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const STORM_TIME: Duration = Duration::from_secs(10);
/// Time between two ends of upstreams, of which there are six, for 1.5 s each.
const END_INTERVAL: Duration = Duration::from_millis(500);
const CALLERS_PER_VM: usize = 6;
/// Attempts of a caller for one request, under ids of their own.
const MAX_ATTEMPTS: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const CALL_PAUSE: Duration = Duration::from_millis(10);

/// How the requests of callers ended.
#[derive(Default)]
struct Tally {
    sent: usize,
    served: usize,
    served_at_once: usize,
    /// Requests that were refused, as upstreams had ended under them.
    quarantined: usize,
}

impl Tally {
    fn add(
        &mut self,
        other: &Self,
    ) {
        self.sent += other.sent;
        self.served += other.served;
        self.served_at_once += other.served_at_once;
        self.quarantined += other.quarantined;
    }
}

/// Sends a request until it is served, a few times at most.
fn send(
    vms: &[Vm],
    first: usize,
    request: &Request,
    tally: &mut Tally,
) {
    tally.sent += 1;
    for (number, vm) in vms
        .iter()
        .cycle()
        .skip(first)
        .take(MAX_ATTEMPTS)
        .enumerate()
    {
        let id = format!("{}-{number}", request.id());
        let response = vm.send_raw(&request.clone().with("X-Request-Id", &id).bytes());
        let Some(response) = response else {
            continue;
        };
        if response.status == 200 && response.is_complete {
            tally.served += 1;
            tally.served_at_once += usize::from(number == 0);
            return;
        }
        if response.text().contains("request_quarantined") {
            tally.quarantined += 1;
            return;
        }
        thread::sleep(RETRY_PAUSE);
    }
}

/// Callers with sound requests at all VMs while upstreams end one after the other.
fn storm(
    site: &Site,
    kind: Kind,
    has_deadly: bool,
) -> Tally {
    let until = Instant::now() + STORM_TIME;
    let is_over = AtomicBool::new(false);
    let call = |first: usize| {
        let mut tally = Tally::default();
        while Instant::now() < until {
            send(&site.vms, first, &kind.request(&own_body()), &mut tally);
            thread::sleep(CALL_PAUSE);
        }
        tally
    };
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                // Not in the order in which they come back.
                site.end(number * 5 + number / 6);
                thread::sleep(END_INTERVAL);
            }
        });
        if has_deadly {
            scope.spawn(|| site.repeat(&kind.request(DEADLY), STORM_TIME));
        }
        let callers = 0..site.vms.len() * CALLERS_PER_VM;
        let callers: Vec<_> = callers
            .map(|first| scope.spawn(move || call(first)))
            .collect();
        let mut total = Tally::default();
        for caller in callers {
            total.add(&caller.join().unwrap());
        }
        is_over.store(true, Ordering::Relaxed);
        total
    })
}

/// Sound requests aren't taken for those under which upstreams end.
fn assert_sound_work_goes_on(
    kind: Kind,
    has_deadly: bool,
    name: &str,
) {
    let site = Site::start(kind, EndAt::Head, name);
    site.set_service_time(Duration::from_millis(60));
    let tally = storm(&site, kind, has_deadly);
    println!(
        "{name}: {} ends, {} sent, {} served, {} at once, {} quarantined",
        site.ends().len(),
        tally.sent,
        tally.served,
        tally.served_at_once,
        tally.quarantined
    );
    assert!(
        tally.quarantined * 100 <= tally.sent,
        "{} of {} sound requests refused",
        tally.quarantined,
        tally.sent
    );
}

#[test]
fn sound_calls_pass_a_storm() {
    // Guards against calls that are refused as upstreams ended under them by chance.
    assert_sound_work_goes_on(Kind::Call, false, "storm-calls");
}

#[test]
fn sound_generations_pass_a_storm() {
    // Guards against the same at engines, where each has many requests.
    assert_sound_work_goes_on(Kind::Generation, false, "storm-models");
}

#[test]
fn sound_calls_pass_beside_a_deadly_one() {
    // Guards against sound calls that are refused for sharing upstreams with the request that ends them.
    assert_sound_work_goes_on(Kind::Call, true, "storm-deadly");
}

#[test]
fn broken_answers_are_no_ends() {
    // Guards against requests that are refused as upstreams broke their answers off and went on.
    let (store, upstreams) = start_platform(&["s-1", "s-2", "s-3"]);
    let vms = start_vms(&store, "broken-answers");
    let request = Kind::Call.request("sound");
    for behaviour in [Behaviour::Reset, Behaviour::Truncate] {
        for upstream in &upstreams {
            upstream.set_default(behaviour.clone());
        }
        for vm in &vms {
            vm.send_raw(&request.bytes());
            thread::sleep(RETRY_PAUSE);
        }
    }
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Answer(b"ok".to_vec()));
    }
    let mut tally = Tally::default();
    send(&vms, 0, &request, &mut tally);
    assert_eq!(tally.served, 1, "{} refused", tally.quarantined);
}
