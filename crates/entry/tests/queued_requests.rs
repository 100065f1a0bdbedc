//! Requests that wait at a scheduler while nothing else happens.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ingress::{UpstreamEntry, UpstreamState},
        scheduler::{AttemptId, LOCAL_VM, Outcome, SchedulerSettings, UpstreamSignals},
    },
    jasmine_entry::scheduling::{JobSpec, LocalScheduler, Verdict},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

const REST: Millis = Millis(100);
/// Bound on the time until a request is sent after the rest, well below the interval of an idle
/// scheduler's timer.
const TIMEOUT: Duration = Duration::from_millis(400);

fn job(number: u64) -> JobSpec {
    JobSpec {
        number,
        account: None,
        caller: 0,
        cost: 1,
        service: "calls".to_owned(),
        route: String::new(),
        generation: None,
        priority: 0,
        route_priority: 0,
        objective: Millis(1_000),
        gap_objective: None,
        deadline: Millis(5_000),
        body_bytes: 0,
        attempt: 1,
        excluded_upstreams: Vec::new(),
        allowed_upstreams: Vec::new(),
        has_begun: false,
        is_hedge: false,
        data_centre: "one".to_owned(),
        allowed_data_centres: Vec::new(),
        build: None,
    }
}

#[test]
fn a_queued_request_is_sent_as_soon_as_it_can_be() {
    // Guards against a request that waits for the timer of an idle scheduler, up to a second.
    actix_rt::System::new().block_on(async {
        let (tasks, _engines) = mpsc::unbounded_channel();
        let scheduler = Rc::new(LocalScheduler::new(
            SchedulerSettings::default(),
            ColdUpstreamSettings::default(),
            tasks,
        ));
        scheduler.set_upstream(&UpstreamEntry {
            id: "s-1".to_owned(),
            service: "calls".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: "one".to_owned(),
            build: "v1".to_owned(),
            slots: 4,
            state: UpstreamState::Ready,
            warm_up_remaining: Millis::ZERO,
            started_unix_ms: Some(1),
            holdings: None,
        });
        let timers = Rc::clone(&scheduler);
        spawn_local(async move { timers.run().await });
        sleep(Duration::from_millis(20)).await;
        let first = scheduler.place(LOCAL_VM, &job(1)).await.unwrap();
        assert!(matches!(first, Verdict::Assigned { .. }), "{first:?}");
        sleep(Duration::from_millis(20)).await;

        let attempt_id = AttemptId {
            vm: LOCAL_VM,
            number: 1,
        };
        let signals = UpstreamSignals {
            rest: Some(REST),
            ..UpstreamSignals::default()
        };
        scheduler.note_signals(attempt_id, &signals);
        scheduler.ended(attempt_id, Outcome::Shed);
        let second = timeout(TIMEOUT, scheduler.place(LOCAL_VM, &job(2))).await;
        let second = second.expect("it is sent when the rest is over").unwrap();
        assert!(matches!(second, Verdict::Assigned { .. }), "{second:?}");
    });
}
