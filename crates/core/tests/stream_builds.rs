//! Requests that go on with a stream: only upstreams of the software version that began it serve them.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{BuildId, UpstreamId},
        scheduler::{EngineStatus, Job, Outcome, UpstreamStatus},
    },
    scheduler_world::{Decision, ENGINES, World, call, engine, generation, upstream},
};

const OLD: BuildId = BuildId(1);
const NEW: BuildId = BuildId(2);
/// Engines of a service in which only a part of them is evaluated for a request.
const LARGE: u32 = 200;

fn add_engine(
    world: &mut World,
    id: u32,
    build: BuildId,
    adapters: &[u32],
) {
    let status = UpstreamStatus {
        build,
        ..upstream(Some(engine(None, adapters)))
    };
    world.set(UpstreamId(id), &status);
    world.report(UpstreamId(id), &engine(Some(0), adapters));
}

fn resumption(
    adapter: u32,
    build: BuildId,
    now: Millis,
) -> Job {
    Job {
        build: Some(build),
        ..generation(adapter, now)
    }
}

fn refusal(
    world: &World,
    number: u64,
) -> Option<ErrorKind> {
    match world.decision(number) {
        Some(Decision::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn the_adapter_is_loaded_at_the_required_build() {
    // Guards against going on at another version because the adapter is loaded there, and against refusing instead.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    add_engine(&mut world, 2, OLD, &[7]);
    add_engine(&mut world, 3, NEW, &[]);
    let number = world.place(resumption(7, NEW, world.now));
    world.advance(600);
    assert_eq!(world.sent_to(number), Some(UpstreamId(3)));
}

#[test]
fn a_build_that_failed_is_tried_again_before_another() {
    // Guards against going on at another version once all upstreams of the required one have failed the request.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    add_engine(&mut world, 2, NEW, &[7]);
    for outcome in [Outcome::Lost, Outcome::Unreachable, Outcome::Silent] {
        let job = Job {
            excluded_upstreams: vec![UpstreamId(2)],
            allowed_upstreams: Vec::new(),
            attempt: 2,
            ..resumption(7, NEW, world.now)
        };
        let number = world.place(job);
        world.advance(50);
        assert_eq!(world.sent_to(number), Some(UpstreamId(2)), "{outcome:?}");
        world.end(number, outcome);
    }
}

#[test]
fn the_last_upstream_of_a_large_service_is_found() {
    // Guards against a sample of a large service that holds none of the few upstreams of the required version.
    let mut world = World::leading(0);
    for id in 0..LARGE {
        let build = if id == 131 { NEW } else { OLD };
        add_engine(&mut world, id, build, &[7]);
    }
    for _ in 0..8 {
        let number = world.place(resumption(7, NEW, world.now));
        world.advance(50);
        assert_eq!(world.sent_to(number), Some(UpstreamId(131)));
        world.end(number, Outcome::Answered { took: Millis(20) });
    }
}

#[test]
fn a_resumption_without_its_build_is_refused_at_once() {
    // Guards against a resumption that waits for its deadline while no upstream can serve it.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    let number = world.place(resumption(7, NEW, world.now));
    let kind = refusal(&world, number);
    assert_eq!(kind, Some(ErrorKind::StreamNotResumable));
}

#[test]
fn a_queued_resumption_is_refused_when_its_build_leaves() {
    // Guards against a queued resumption that waits for its deadline after the last upstream of its version has left.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    add_engine(&mut world, 2, NEW, &[]);
    world.engines_answer = false;
    let number = world.place(resumption(7, NEW, world.now));
    assert_eq!(world.decision(number), None, "it waits for a load");
    world.scheduler.remove_upstream(UpstreamId(2), world.now);
    world.advance(100);
    let kind = refusal(&world, number);
    assert_eq!(kind, Some(ErrorKind::StreamNotResumable));
}

#[test]
fn a_restart_as_another_build_ends_what_it_can_resume() {
    // Guards against keeping the software version of an earlier run of an upstream.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    let restarted = UpstreamStatus {
        build: NEW,
        started_unix_ms: Some(2),
        ..upstream(Some(engine(None, &[7])))
    };
    world.set(UpstreamId(1), &restarted);
    let number = world.place(resumption(7, OLD, world.now));
    let kind = refusal(&world, number);
    assert_eq!(kind, Some(ErrorKind::StreamNotResumable));
}

#[test]
fn streams_of_plain_services_keep_their_build() {
    // Guards against one full version that stands for the whole of a plain service.
    let mut world = World::leading(0);
    world.add_server_of(UpstreamId(1), OLD);
    world.add_server_of(UpstreamId(2), NEW);
    for build in [OLD, NEW, OLD, NEW] {
        let job = Job {
            build: Some(build),
            ..call(world.now)
        };
        let number = world.place(job);
        assert_eq!(world.sent_to(number), Some(UpstreamId(build.0)));
    }
}

/// The report of an engine's second run, with adapter 7.
fn second_run() -> EngineStatus {
    EngineStatus {
        started_unix_ms: Some(2),
        ..engine(Some(0), &[7])
    }
}

#[test]
fn an_engine_whose_run_is_not_registered_goes_on_with_no_stream() {
    // Guards against a restart as another version that is believed to be the one of the old entry.
    for (build, is_served) in [(OLD, true), (NEW, false)] {
        let mut world = World::leading(0);
        add_engine(&mut world, 1, OLD, &[7]);
        world.report(UpstreamId(1), &second_run());
        assert_eq!(world.scheduler.build_of(UpstreamId(1)), None);
        assert_eq!(world.scheduler.only_build(ENGINES, world.now), None);
        let number = world.place(resumption(7, OLD, world.now));
        world.advance(50);
        assert_eq!(world.decision(number), None, "it waits for the entry");

        let registered = UpstreamStatus {
            build,
            started_unix_ms: Some(2),
            ..upstream(Some(engine(None, &[7])))
        };
        world.set(UpstreamId(1), &registered);
        world.report(UpstreamId(1), &second_run());
        world.advance(100);
        assert_eq!(world.sent_to(number).is_some(), is_served, "{build}");
    }
}

#[test]
fn a_lost_stream_makes_an_engine_tell_its_run() {
    // Guards against a restart that shows only in an engine's report, for which nothing else asks.
    let mut world = World::leading(0);
    add_engine(&mut world, 1, OLD, &[7]);
    add_engine(&mut world, 2, NEW, &[7]);
    world.advance(500);
    world.reports_asked.clear();
    let number = world.place(resumption(7, OLD, world.now));
    world.end(number, Outcome::Lost);
    world.advance(50);
    assert!(world.reports_asked.contains(&UpstreamId(1)));
}
