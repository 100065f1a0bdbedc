//! Older versions of an adapter: how long requests may begin on them after a newer one was announced.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AdapterId, UpstreamId},
        ingress::PromptSize,
        scheduler::{Announcement, Job, VersionLimit, Work},
    },
    scheduler_world::{Decision, World, generation},
};

/// Time from the announcement of a version to the last first token by an older one.
const BOUND: u64 = 5_000;
const ENGINE: UpstreamId = UpstreamId(0);

/// A leader whose only engine holds version 1 of adapter 1.
fn world() -> World {
    let mut world = World::leading(0);
    world.add_engine(ENGINE, &[1]);
    world
}

/// Announces a version that the store didn't hold yet this long ago.
fn announce(
    world: &mut World,
    version: u32,
    absent_ago: u64,
) {
    let absent_at = world.now.since(Millis(absent_ago));
    let source = Announcement::New { absent_at };
    let now = world.now;
    world
        .scheduler
        .announce_version(AdapterId(1), version, source, now);
}

/// Sends a request by version 1 that keeps using it, so that the engine can't replace it.
fn keep_in_use(world: &mut World) {
    let running = world.generate(1);
    assert_eq!(world.decision(running), Some(Decision::Sent(ENGINE, None)));
    world.first_event(running);
}

/// A request for adapter 1 whose prompt takes some seconds to process.
fn long_prompt(now: Millis) -> Job {
    let mut job = generation(1, now);
    if let Work::Generation(generation) = &mut job.work {
        generation.size = PromptSize {
            prompt: 60_000,
            output: 100,
        };
    }
    job.deadline = now + Millis(15_000);
    job
}

/// Leaves an order to the engine unanswered, so that it gets no other one.
fn block_orders(world: &mut World) {
    world.engines_answer = false;
    world.generate(8);
}

#[test]
fn a_newer_announcement_revives_no_older_version() {
    // Guards against answers by version 1 that begin when version 3 is announced, long after version 2 was.
    let mut world = world();
    announce(&mut world, 2, 0);
    world.advance(BOUND + 1_000);
    block_orders(&mut world);
    announce(&mut world, 3, 0);
    let request = world.generate(1);
    let decision = world.decision(request);
    assert!(
        !matches!(decision, Some(Decision::Sent(_, None | Some(1)))),
        "{decision:?}"
    );
}

#[test]
fn time_spent_on_learning_counts() {
    // Guards against a full grace period where the announcement was read late.
    let mut world = world();
    keep_in_use(&mut world);
    announce(&mut world, 2, 4_000);
    world.advance(1_100);
    let request = world.generate(1);
    let decision = world.decision(request);
    assert_eq!(decision, None, "5.1 s after version 2 was absent");
}

#[test]
fn a_long_prompt_waits_for_the_newer_version() {
    // Guards against a request that is sent in time and begins too late, as its prompt takes seconds.
    let mut world = world();
    keep_in_use(&mut world);
    announce(&mut world, 2, 3_000);
    let now = world.now;
    let request = world.place(long_prompt(now));
    assert_eq!(world.decision(request), None);
    let short = world.generate(1);
    assert_eq!(
        world.decision(short),
        Some(Decision::Sent(ENGINE, Some(1))),
        "a short one can begin in time"
    );
}

/// A request whose VM knows version 2, and that older ones may be begun for `older_for` more.
fn informed(
    now: Millis,
    older_for: u64,
) -> Job {
    let mut job = generation(1, now);
    if let Work::Generation(generation) = &mut job.work {
        generation.newest = Some(VersionLimit {
            version: 2,
            older_until: now + Millis(older_for),
        });
    }
    job
}

#[test]
fn a_vm_that_knows_better_than_its_leader_gets_the_newer_version() {
    // Guards against older versions for VMs whose own time for these is over, while the leader's isn't.
    let mut world = world();
    announce(&mut world, 2, 0);
    let now = world.now;
    let request = world.place(informed(now, 0));
    assert_eq!(world.decision(request), None, "not by version 1");
    world.advance(400);
    assert_eq!(
        world.decision(request),
        Some(Decision::Sent(ENGINE, Some(2)))
    );
}

#[test]
fn a_later_limit_of_the_same_version_holds() {
    // Guards against waits for a load where only the first VM that told of a version knew nothing of its age.
    let mut world = world();
    keep_in_use(&mut world);
    let learn = |world: &mut World, older_for: u64| {
        let limit = VersionLimit {
            version: 2,
            older_until: world.now + Millis(older_for),
        };
        let now = world.now;
        world.scheduler.learn_version(AdapterId(1), limit, now);
    };
    learn(&mut world, 0);
    learn(&mut world, 3_000);
    let request = world.generate(1);
    assert_eq!(
        world.decision(request),
        Some(Decision::Sent(ENGINE, Some(1)))
    );
    learn(&mut world, 1_000);
    world.advance(1_500);
    let request = world.generate(1);
    assert_eq!(
        world.decision(request),
        Some(Decision::Sent(ENGINE, Some(1)))
    );
}

#[test]
fn a_version_that_is_being_loaded_is_not_replaced() {
    // Guards against two loads of one adapter at the same time, for which the engine may have no slot.
    let mut world = world();
    announce(&mut world, 2, 10_000);
    world.generate(1);
    assert_eq!(world.loads_of(1), 1);
    world.advance(30);
    announce(&mut world, 3, 10_000);
    let request = world.generate(1);
    world.advance(500);
    assert_eq!(world.loads_of(1), 1, "{:?}", world.orders);
    world.advance(1_000);
    assert_eq!(world.loads_of(1), 2, "{:?}", world.orders);
    assert_eq!(
        world.decision(request),
        Some(Decision::Sent(ENGINE, Some(3)))
    );
}

#[test]
fn a_version_that_is_read_again_revives_no_older_one() {
    // Guards against older versions that serve again after lost history, when a full read repeats what is known.
    let mut world = world();
    announce(&mut world, 2, 0);
    world.advance(BOUND + 1_000);
    block_orders(&mut world);
    announce(&mut world, 2, 0);
    let request = world.generate(1);
    assert_eq!(world.decision(request), None);
}
