//! Upstreams whose answers come twice, the second time before the next answer on their connection.

mod deployment;

use {
    deployment::{Request, Vm, config, count_runs, start_platform, wait_until},
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// How long an adapter's load takes; longer than a VM expects, so that requests come too early.
const LOAD_TIME: Duration = Duration::from_millis(280);
/// Time until an engine answers an order, in which its connection could carry something else.
const ORDER_TIME: Duration = Duration::from_millis(80);
/// Adapters of the requests, more than an engine has places for.
const ADAPTERS: usize = 6;
const GENERATIONS_TIME: Duration = Duration::from_secs(6);
const CALLERS: usize = 4;

fn write() -> Request {
    Request::new("POST", "/write/").body(b"enrol")
}

/// Sends a request to a VM whose only upstream refuses it first; returns the status and the number of its runs.
fn send_after_refusal(req: &Request) -> (u16, usize) {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].repeat_answers();
    upstreams[0].next(Behaviour::Shed);
    let status = vm.send_request(req).status;
    (status, count_runs(&upstreams, req.id()))
}

#[test]
fn refused_writes_run_once() {
    // Guards against taking the second copy of a refusal for the answer to the next attempt, which runs.
    assert_eq!(send_after_refusal(&write()), (200, 1));
}

#[test]
fn refused_calls_run_once() {
    // The same for a call that may be repeated, which would run at more upstreams than its route allows.
    assert_eq!(send_after_refusal(&Request::new("GET", "/read/")), (200, 1));
}

/// An engine whose answers come twice, and a VM that loads adapters there.
struct Site {
    engine: EngineStandIn,
    vm: Vm,
    _store: KvStandIn,
}

impl Site {
    fn start() -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &config(1));
        let engine = EngineStandIn::start("e-1").unwrap();
        engine.set_load_time(LOAD_TIME);
        engine.repeat_answers();
        store.put(&engine.key(), &engine.entry("llm", "one"));
        let vm = Vm::start(&store);
        wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
        Self {
            engine,
            vm,
            _store: store,
        }
    }

    /// Sends generations by all adapters in turn from several callers; returns the statuses.
    fn generate(&self) -> Vec<u16> {
        let until = Instant::now() + GENERATIONS_TIME;
        let call = |caller: usize| {
            let mut statuses = Vec::new();
            for number in caller.. {
                if Instant::now() > until {
                    break;
                }
                let model = format!("base/a{}", number % ADAPTERS);
                let req = Request::new("POST", "/model/")
                    .with("X-Model", &model)
                    .with("X-Token-Counts", "150,10")
                    .body(b"prompt");
                statuses.push(self.vm.send_request(&req).status);
            }
            statuses
        };
        thread::scope(|scope| {
            let callers = (0..CALLERS).map(|caller| scope.spawn(move || call(caller)));
            let callers: Vec<_> = callers.collect();
            let statuses = callers.into_iter().map(|it| it.join().unwrap());
            statuses.flatten().collect()
        })
    }
}

#[test]
fn early_generations_run_once() {
    // Guards against the same for a generation that comes before its adapter is loaded.
    let site = Site::start();
    site.generate();
    let mut ids: Vec<String> = site
        .engine
        .begins()
        .into_iter()
        .map(|it| it.request_id)
        .collect();
    let runs = ids.len();
    ids.sort();
    ids.dedup();
    assert!(
        runs > 0 && runs == ids.len(),
        "{runs} runs of {} requests",
        ids.len()
    );
}

#[test]
fn orders_get_their_own_answers() {
    // Guards against taking an answer to a request for that to an order, and the reverse.
    let site = Site::start();
    let statuses = site.generate();
    let foreign = statuses
        .iter()
        .filter(|status| ![200, 503].contains(status));
    assert_eq!(
        (
            foreign.collect::<Vec<_>>(),
            site.engine.over_capacity_orders()
        ),
        (Vec::new(), 0)
    );
}

/// What a VM has to take each status of an order's answer for.
fn end_of_order(status: u16) -> &'static str {
    match status {
        200 => "Holds",
        202 => "Accepted",
        409 => "Conflict",
        _ => "Refused",
    }
}

#[test]
fn slow_orders_get_their_own_answers() {
    // Guards against counting an order by the second answer to a request or to an earlier order.
    let site = Site::start();
    site.engine.set_order_time(ORDER_TIME);
    site.generate();
    thread::sleep(2 * ORDER_TIME);
    let statuses = site.engine.order_statuses();
    let mut answered: Vec<&str> = statuses.into_iter().map(end_of_order).collect();
    let orders = site.vm.log_lines("order_given");
    let ends = orders.iter().filter_map(|line| line.split_once(" end="));
    let mut taken: Vec<&str> = ends.map(|(_, end)| end.trim()).collect();
    answered.sort_unstable();
    taken.sort_unstable();
    assert!(answered.len() > 10, "{} orders", answered.len());
    assert_eq!(taken, answered);
}

#[test]
fn reports_are_not_read_from_answers_to_requests() {
    // Guards against a report that is lost, as the second answer to a request was read in its place.
    let site = Site::start();
    site.generate();
    assert!(!site.engine.executed().is_empty(), "nothing was served");
    assert_eq!(site.vm.log_lines("report_unreadable"), Vec::<String>::new());
}
