//! Late requests that wait for a load, in a long queue.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        scheduler::{Job, Order, Outcome, SchedulerSettings},
    },
    scheduler_world::{ADAPTER_SLOTS, World, generation},
    std::collections::BTreeMap,
};

const ENGINES: u32 = 30;
/// Queued requests, each for an adapter of its own.
const QUEUED: u32 = 900;
/// The loads of all slots begin and end in this time.
const OBSERVED_MS: u64 = 1_500;
/// When a load that is late is expected to end, after it was seen to be late.
const LATE_LOAD_DELAY: Millis = Millis(40);
/// Longest time that a loaded adapter may wait for its first request: a pass over the queue is made each 18 ms.
const MAX_UNUSED: Millis = Millis(40);

/// A request that is late before any load ends.
fn late_generation(
    adapter: u32,
    now: Millis,
) -> Job {
    Job {
        objective: now + Millis(20),
        deadline: now + Millis(120_000),
        ..generation(adapter, now)
    }
}

/// A long queue of late requests for adapters that no engine has.
fn long_queue() -> (World, Vec<u64>) {
    let mut settings = SchedulerSettings::default();
    settings.loads.max_concurrent_cold = u32::try_from(ENGINES as usize * ADAPTER_SLOTS).unwrap();
    let mut world = World::with(ENGINES, settings, true);
    let requests = (0..QUEUED)
        .map(|adapter| world.place(late_generation(adapter, world.now)))
        .collect();
    (world, requests)
}

/// How long the scheduler takes to send a request.
fn time_to_send(
    world: &mut World,
    request: u64,
) -> Millis {
    let since = world.now;
    while world.sent_to(request).is_none() {
        assert!(
            world.now.since(since) < Millis(OBSERVED_MS),
            "{request} isn't sent"
        );
        world.advance(1);
    }
    world.now.since(since)
}

/// Guards against adapter slots that stay idle with what was loaded for a queued request.
#[test]
fn late_requests_are_sent_when_their_load_ends() {
    let (mut world, requests) = long_queue();
    let cold = SchedulerSettings::default().loads.cold;
    let mut loaded_at = BTreeMap::new();
    let mut unused = Vec::new();
    for _ in 0..OBSERVED_MS {
        for (_, order) in world.orders.drain(..) {
            if let Order::Load { adapter, .. } = order {
                loaded_at.insert(adapter.adapter, world.now + cold);
            }
        }
        world.advance(1);
        loaded_at.retain(|adapter, &mut loaded_at| {
            let decision = world.decision(requests[adapter.0 as usize]);
            if decision.is_some() {
                unused.push(world.now.since(loaded_at));
            }
            decision.is_none()
        });
    }
    assert!(world.scheduler.waiting_len() > 800, "a long queue");
    let still_unused = loaded_at.values();
    unused.extend(still_unused.map(|&loaded_at| world.now.since(loaded_at)));
    let longest = unused.iter().max().copied().unwrap();
    assert_eq!(
        unused.len(),
        ENGINES as usize * ADAPTER_SLOTS,
        "loads begun"
    );
    assert!(
        longest <= MAX_UNUSED,
        "an adapter was unused for {longest:?} after its load, expected {MAX_UNUSED:?} at most"
    );
}

/// Guards against the same after a load that ended later than expected, and for those that wait until it is confirmed.
#[test]
fn late_requests_are_sent_when_a_late_load_ends() {
    let (mut world, requests) = long_queue();
    let adapter = (0..QUEUED)
        .find(|&adapter| {
            world.advance(1);
            world.loads_of(adapter) == 1
        })
        .unwrap();
    time_to_send(&mut world, requests[adapter as usize]);
    world.end(requests[adapter as usize], Outcome::NotLoaded);
    let [probe, second] = [(); 2].map(|()| world.place(late_generation(adapter, world.now)));
    world.advance(30);
    assert_eq!(
        [probe, second].map(|request| world.sent_to(request)),
        [None; 2]
    );
    let until_sent = time_to_send(&mut world, probe);
    assert!(
        until_sent <= LATE_LOAD_DELAY + MAX_UNUSED,
        "sent again {until_sent:?} after the late load was expected"
    );
    assert_eq!(world.sent_to(second), None, "one request confirms the load");
    world.advance(100);
    world.first_event(probe);
    let until_sent = time_to_send(&mut world, second);
    assert!(
        until_sent <= MAX_UNUSED,
        "sent {until_sent:?} after the load was confirmed"
    );
}
