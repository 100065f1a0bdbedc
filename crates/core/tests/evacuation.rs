//! Evacuations of data centres: when upstreams get no more requests, and where requests go instead.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{DataCentreId, UpstreamId},
        scheduler::{
            Announcement, EvacuationTimes, Job, Outcome, SchedulerSettings, UpstreamStatus,
        },
    },
    scheduler_world::{CALLS, Decision, HERE, World, call, engine, upstream},
};

const THERE: DataCentreId = DataCentreId(1);
const MOVE_TIME: Millis = Millis(1_500);
const LATEST_EFFECT: Millis = Millis(4_500);

fn world() -> World {
    let settings = SchedulerSettings {
        evacuation: EvacuationTimes {
            moving: MOVE_TIME,
            latest_effect: LATEST_EFFECT,
        },
        ..SchedulerSettings::default()
    };
    World::with(0, settings, true)
}

fn add_server(
    world: &mut World,
    id: u32,
    data_centre: DataCentreId,
) {
    let status = UpstreamStatus {
        service: CALLS,
        slots: 6,
        data_centre: Some(data_centre),
        ..upstream(None)
    };
    world.set(UpstreamId(id), &status);
}

fn add_engine(
    world: &mut World,
    id: u32,
    data_centre: DataCentreId,
    adapters: &[u32],
) {
    let status = UpstreamStatus {
        data_centre: Some(data_centre),
        ..upstream(Some(engine(None, adapters)))
    };
    world.set(UpstreamId(id), &status);
    world.report(UpstreamId(id), &engine(Some(0), adapters));
}

fn evacuate(
    world: &mut World,
    data_centre: DataCentreId,
    source: Announcement,
) {
    let now = world.now;
    let actions = world.scheduler.begin_evacuation(data_centre, source, now);
    world.apply(actions);
}

/// Begins an evacuation that the store didn't hold a moment ago.
fn evacuate_now(
    world: &mut World,
    data_centre: DataCentreId,
) {
    let absent_at = world.now;
    evacuate(world, data_centre, Announcement::New { absent_at });
}

fn take_back(
    world: &mut World,
    data_centre: DataCentreId,
) {
    let now = world.now;
    let actions = world.scheduler.end_evacuation(data_centre, now);
    world.apply(actions);
}

fn refused_for(
    world: &World,
    number: u64,
) -> Option<ErrorKind> {
    match world.decision(number)? {
        Decision::Refused(Refusal { kind, .. }) => Some(kind),
        Decision::Sent(..) => None,
    }
}

#[test]
fn an_evacuated_data_centre_gets_no_requests() {
    // Guards against requests that reach upstreams which an operator is about to take away.
    let mut world = world();
    add_server(&mut world, 1, HERE);
    add_server(&mut world, 2, THERE);
    evacuate_now(&mut world, THERE);
    world.advance(MOVE_TIME.0);
    for _ in 0..8 {
        let number = world.place(call(world.now));
        assert_eq!(world.sent_to(number), Some(UpstreamId(1)));
    }
    let waiting = world.place(call(world.now));
    assert_eq!(world.decision(waiting), None);
    take_back(&mut world, THERE);
    assert_eq!(world.sent_to(waiting), Some(UpstreamId(2)));
}

#[test]
fn an_evacuation_found_in_the_store_holds_at_once() {
    // Guards against a VM that starts during an evacuation and takes it for a new one.
    let mut world = world();
    add_server(&mut world, 1, HERE);
    add_server(&mut world, 2, THERE);
    evacuate(&mut world, THERE, Announcement::Found);
    let near = Job {
        data_centre: Some(THERE),
        ..call(world.now)
    };
    let number = world.place(near);
    assert_eq!(world.sent_to(number), Some(UpstreamId(1)));
}

#[test]
fn an_upstream_that_joins_during_an_evacuation_gets_no_requests() {
    let mut world = world();
    add_server(&mut world, 1, HERE);
    evacuate(&mut world, THERE, Announcement::Found);
    add_server(&mut world, 2, THERE);
    for _ in 0..8 {
        let number = world.place(call(world.now));
        assert_eq!(world.sent_to(number), Some(UpstreamId(1)));
    }
}

#[test]
fn adapters_move_while_their_old_copies_serve() {
    // Guards against a switch in one moment, after which all requests for the adapters of a data
    // centre wait for loads.
    let mut world = world();
    for id in 0..3 {
        add_engine(&mut world, id, THERE, &[10 + 2 * id, 11 + 2 * id]);
        add_engine(&mut world, 100 + id, HERE, &[]);
    }
    let mut waited = 0;
    let ask_for_all = |world: &mut World| {
        (10..16)
            .filter(|&adapter| {
                let number = world.generate(adapter);
                let is_sent = world.sent_to(number).is_some();
                world.first_event(number);
                world.end(number, Outcome::Answered { took: Millis(100) });
                !is_sent
            })
            .count()
    };
    for _ in 0..10 {
        ask_for_all(&mut world);
        world.advance(100);
    }
    evacuate_now(&mut world, THERE);
    for _ in 0..40 {
        waited += ask_for_all(&mut world);
        world.advance(100);
    }
    assert_eq!(waited, 0, "requests that waited for a load");
    let later = world.generate(10);
    assert!(world.sent_to(later) >= Some(UpstreamId(100)));
}

#[test]
fn no_adapter_is_loaded_into_an_evacuated_data_centre() {
    let mut world = world();
    add_engine(&mut world, 1, THERE, &[]);
    add_engine(&mut world, 2, HERE, &[]);
    evacuate_now(&mut world, THERE);
    for adapter in 0..2 {
        world.place(Job {
            data_centre: Some(THERE),
            ..scheduler_world::generation(adapter, world.now)
        });
    }
    assert!(!world.orders.is_empty());
    assert!(world.orders.iter().all(|(id, _)| *id == UpstreamId(2)));
}

#[test]
fn requests_are_refused_at_once_when_everything_is_evacuated() {
    // Guards against keeping callers until their deadline for upstreams that may not serve them.
    let mut world = world();
    add_server(&mut world, 1, HERE);
    add_server(&mut world, 2, THERE);
    evacuate_now(&mut world, HERE);
    evacuate_now(&mut world, THERE);
    for _ in 0..16 {
        world.place(call(world.now));
    }
    let queued = world.place(Job {
        deadline: world.now + Millis(5_000),
        ..call(world.now)
    });
    assert_eq!(world.decision(queued), None);
    world.advance(MOVE_TIME.0);
    assert_eq!(refused_for(&world, queued), Some(ErrorKind::Evacuated));
    let late = world.place(call(world.now));
    assert_eq!(refused_for(&world, late), Some(ErrorKind::Evacuated));
}

#[test]
fn an_evacuation_taken_back_soon_changes_nothing() {
    let mut world = world();
    add_server(&mut world, 2, THERE);
    evacuate_now(&mut world, THERE);
    world.advance(500);
    take_back(&mut world, THERE);
    world.advance(MOVE_TIME.0);
    let number = world.place(call(world.now));
    assert_eq!(world.sent_to(number), Some(UpstreamId(2)));
}

#[test]
fn requests_stay_in_their_allowed_data_centres() {
    // Guards against a request that leaves the regions of its route or account.
    let mut world = world();
    add_server(&mut world, 1, HERE);
    add_server(&mut world, 2, THERE);
    let job = |world: &World| Job {
        allowed_data_centres: vec![THERE],
        ..call(world.now)
    };
    for _ in 0..8 {
        let number = world.place(job(&world));
        assert_eq!(world.sent_to(number), Some(UpstreamId(2)));
    }
    let number = world.place(job(&world));
    assert_eq!(
        world.decision(number),
        None,
        "waits though {HERE:?} is free"
    );
}

#[test]
fn a_request_without_upstreams_in_its_regions_is_refused() {
    let mut world = world();
    add_server(&mut world, 1, HERE);
    let number = world.place(Job {
        allowed_data_centres: vec![THERE],
        ..call(world.now)
    });
    assert_eq!(
        refused_for(&world, number),
        Some(ErrorKind::RegionUnavailable)
    );
}

#[test]
fn an_evacuation_that_is_read_late_takes_effect_in_time() {
    // Guards against requests that reach an evacuated data centre after the bound, where the change took long to arrive.
    let mut world = world();
    add_server(&mut world, 0, THERE);
    let absent_at = world.now.since(Millis(4_000));
    evacuate(&mut world, THERE, Announcement::New { absent_at });
    world.advance(600);
    let now = world.now;
    let request = world.place(call(now));
    assert_eq!(refused_for(&world, request), Some(ErrorKind::Evacuated));
}
