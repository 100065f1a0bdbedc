//! What is known of the software versions that began streams, and what follows from it.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{BuildId, StreamId, UpstreamId},
        streams::{
            KnownBuilds, LOOKUP_VMS, ORIGIN_REPLICAS, OriginLookup, ServiceBuild, StreamOrigin,
            StreamOrigins, agreed_build, replicas_of,
        },
    },
    scheduler_world::{CALLS, World},
};

const STREAM: StreamId = StreamId(7);
const NOW: Millis = Millis(1_000_000);
const LATER: Millis = Millis(1_060_000);
/// How long a VM must have known all upstreams.
const LONG: Millis = Millis(15_000);

fn of(build: &str) -> ServiceBuild {
    ServiceBuild {
        service: "app".to_owned(),
        build: Some(build.to_owned()),
    }
}

#[test]
fn contradictory_origins_are_not_known() {
    // Guards against believing one of two VMs that say different things about a stream.
    let mut origins = StreamOrigins::default();
    origins.record(STREAM, &of("v1"), NOW);
    origins.record(STREAM, &of("v1"), NOW);
    assert_eq!(origins.build_of(STREAM), Some(&of("v1")));
    origins.record(STREAM, &of("v2"), NOW);
    origins.record(STREAM, &of("v1"), NOW);
    assert_eq!(origins.build_of(STREAM), None);
}

#[test]
fn origins_are_forgotten() {
    // Guards against origins that fill the memory of a VM.
    let mut origins = StreamOrigins::default();
    for id in 0..150_000 {
        origins.record(StreamId(id), &of("v1"), NOW);
    }
    assert_eq!(origins.len(), 100_000);
    assert_eq!(origins.build_of(StreamId(149_999)), Some(&of("v1")));
    origins.record(STREAM, &of("v1"), LATER);
    assert_eq!(origins.len(), 1);
}

#[test]
fn a_build_that_is_in_doubt_is_not_known() {
    // Guards against the build of an earlier run, where the scheduler or this VM alone knows of a restart.
    for (assigned, own, agreed) in [
        (Some("v1"), Some("v1"), Some("v1")),
        (Some("v1"), None, Some("v1")),
        (Some("v1"), Some("v2"), None),
        (None, Some("v1"), None),
    ] {
        assert_eq!(agreed_build(assigned, own), agreed, "{assigned:?} {own:?}");
    }
}

#[test]
fn a_stream_keeps_the_build_that_began_it() {
    let mut origin = StreamOrigin::default();
    assert_eq!(
        (origin.required_build(), origin.is_resumable()),
        (None, true)
    );
    origin.begin(Some("v1"));
    origin.begin(Some("v2"));
    origin.begin(None);
    assert_eq!(origin.required_build(), Some("v1"));

    let mut uncertain = StreamOrigin::default();
    uncertain.begin(None);
    uncertain.begin(Some("v1"));
    assert!(!uncertain.is_resumable());
}

/// A service that has had upstreams of `v1` only.
fn only_v1(complete_for: Option<Millis>) -> KnownBuilds {
    KnownBuilds {
        only: Some("v1".to_owned()),
        complete_for,
        is_confirmed: true,
    }
}

fn lookup(
    recorded: Option<&str>,
    asked: usize,
    answered: usize,
) -> OriginLookup {
    OriginLookup {
        recorded: recorded.map(of),
        asked,
        answered,
        is_none_stored: false,
    }
}

#[test]
fn an_unknown_origin_is_concluded_only_in_touch() {
    // Guards against a VM that hasn't heard of a second version: partitioned, or just started.
    let begun_at = |build: &str| StreamOrigin::Build(build.to_owned());
    for (asked, answered, complete_for, expected) in [
        (6, 3, Some(LONG), begun_at("v1")),
        (6, 2, Some(LONG), StreamOrigin::Unknown),
        (0, 0, Some(LONG), begun_at("v1")),
        (1, 0, Some(LONG), StreamOrigin::Unknown),
        (6, 6, Some(Millis(LONG.0 - 1)), StreamOrigin::Unknown),
        (6, 6, None, StreamOrigin::Unknown),
    ] {
        let concluded = lookup(None, asked, answered).conclude("app", only_v1(complete_for));
        assert_eq!(
            concluded, expected,
            "{answered} of {asked}, {complete_for:?}"
        );
    }
    let several = KnownBuilds {
        complete_for: Some(LONG),
        ..KnownBuilds::default()
    };
    let concluded = lookup(None, 6, 6).conclude("app", several.clone());
    assert_eq!(concluded, StreamOrigin::Unknown);
    let unnamed = OriginLookup::default();
    for (complete_for, expected) in [
        (None, StreamOrigin::Unknown),
        (Some(Millis(LONG.0 - 1)), StreamOrigin::Unknown),
        (Some(LONG), begun_at("v1")),
    ] {
        let concluded = unnamed.clone().conclude("app", only_v1(complete_for));
        assert_eq!(concluded, expected, "unnamed, {complete_for:?}");
    }
    assert_eq!(
        unnamed.clone().conclude("app", several.clone()),
        StreamOrigin::Unknown
    );
    let none_stored = OriginLookup {
        is_none_stored: true,
        ..unnamed
    };
    for (complete_for, expected) in [
        (None, StreamOrigin::Unknown),
        (Some(Millis::ZERO), begun_at("v1")),
    ] {
        let concluded = none_stored.clone().conclude("app", only_v1(complete_for));
        assert_eq!(concluded, expected, "none stored, {complete_for:?}");
    }
    let alone = OriginLookup {
        asked: 6,
        answered: 2,
        ..none_stored.clone()
    };
    assert_eq!(
        alone.conclude("app", only_v1(Some(LONG))),
        StreamOrigin::Unknown
    );
    assert_eq!(none_stored.conclude("app", several), StreamOrigin::Unknown);
}

#[test]
fn an_old_view_concludes_nothing() {
    // Guards against a VM that was suspended while a second version joined, and takes the one that it knows for the only one.
    let old = KnownBuilds {
        is_confirmed: false,
        ..only_v1(Some(LONG))
    };
    for (asked, answered) in [(0, 0), (6, 6)] {
        for is_none_stored in [false, true] {
            let unrecorded = OriginLookup {
                is_none_stored,
                ..lookup(None, asked, answered)
            };
            let concluded = unrecorded.conclude("app", old.clone());
            assert_eq!(concluded, StreamOrigin::Unknown, "{answered} of {asked}");
        }
    }
    let recorded = lookup(Some("v2"), 6, 1).conclude("app", old);
    assert_eq!(recorded, StreamOrigin::Build("v2".to_owned()));
}

#[test]
fn others_vouch_for_an_old_view() {
    // Guards against refusing streams at each VM that doesn't reach the store, and against a view that nobody shares.
    let old = KnownBuilds {
        is_confirmed: false,
        ..only_v1(Some(LONG))
    };
    let confirmed = only_v1(Some(LONG));
    let other = KnownBuilds {
        only: Some("v2".to_owned()),
        ..confirmed.clone()
    };
    let several = KnownBuilds {
        only: None,
        ..old.clone()
    };
    let started = KnownBuilds::default();
    let begun = StreamOrigin::Build("v1".to_owned());
    for (asked, others, expected) in [
        (0, vec![], StreamOrigin::Unknown),
        (6, vec![], StreamOrigin::Unknown),
        (6, vec![confirmed.clone()], begun.clone()),
        (6, vec![old.clone(); 3], begun.clone()),
        (6, vec![old.clone(); 2], StreamOrigin::Unknown),
        (6, vec![started.clone(); 6], StreamOrigin::Unknown),
        (2, vec![old.clone(), started], begun),
        (6, vec![other], StreamOrigin::Unknown),
        (
            6,
            vec![confirmed.clone(), several.clone()],
            StreamOrigin::Unknown,
        ),
        (
            3,
            vec![old.clone(), old.clone(), several],
            StreamOrigin::Unknown,
        ),
    ] {
        let known = old.clone().with_others(asked, &others);
        let concluded = OriginLookup::default().conclude("app", known);
        assert_eq!(concluded, expected, "{asked} asked, {others:?}");
    }
    // How long upstreams are known by a VM that just started says nothing of the time before.
    let young = only_v1(Some(Millis(1)));
    let known = old.with_others(6, &[young]);
    assert_eq!(known.complete_for, Some(Millis(1)));
}

#[test]
fn a_stream_that_began_in_doubt_is_not_resumed() {
    // Guards against the service's only build where the upstream may have restarted as one that this VM hasn't heard of.
    let recorded = OriginLookup {
        recorded: Some(ServiceBuild {
            build: None,
            ..of("v1")
        }),
        ..lookup(None, 6, 6)
    };
    let concluded = recorded.conclude("app", only_v1(Some(LONG)));
    assert_eq!(concluded, StreamOrigin::Unknown);
}

#[test]
fn a_record_counts_for_its_service() {
    // Guards against a build of the same name at the service to which a route has moved.
    let recorded = lookup(Some("v2"), 6, 1);
    let begun = StreamOrigin::Build("v2".to_owned());
    assert_eq!(recorded.clone().conclude("app", only_v1(None)), begun);
    let elsewhere = recorded.conclude("other", only_v1(Some(LONG)));
    assert_eq!(elsewhere, StreamOrigin::Unknown);
}

#[test]
fn most_holders_outlast_a_change_of_vms() {
    // Guards against asking other VMs than those that were told once a VM has come or gone.
    let vms: Vec<u64> = (1..=8).map(|vm| vm * 0x9e37_79b9).collect();
    let changed = [&vms[1..], &[0xabcd_ef01]].concat();
    for stream in (0..500).map(StreamId) {
        let told = replicas_of(stream, &vms, ORIGIN_REPLICAS);
        let asked = replicas_of(stream, &changed, LOOKUP_VMS);
        assert_eq!(told.len(), ORIGIN_REPLICAS);
        let known = told.iter().filter(|vm| asked.contains(vm)).count();
        assert!(known >= ORIGIN_REPLICAS - 1, "{stream}: {told:?} {asked:?}");
    }
}

#[test]
fn a_build_that_was_in_service_lately_counts() {
    // Guards against taking a version for the only one right after the last upstream of another has left.
    let (old, new) = (BuildId(1), BuildId(2));
    let mut world = World::leading(0);
    let only = |world: &World| world.scheduler.only_build(CALLS, world.now);
    assert_eq!(only(&world), None);
    world.add_server_of(UpstreamId(1), old);
    assert_eq!(only(&world), Some(old));
    world.add_server_of(UpstreamId(2), new);
    assert_eq!(only(&world), None);
    world.scheduler.remove_upstream(UpstreamId(1), world.now);
    assert_eq!(only(&world), None, "it has just left");
    world.now += Millis(60_000);
    assert_eq!(only(&world), Some(new));
    world.add_server_of(UpstreamId(2), old);
    assert_eq!(only(&world), None, "a restart as another version");
}
