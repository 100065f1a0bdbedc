//! Adapter loads: when they start, on which engine, and which adapters are evicted.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AdapterId, UpstreamId},
        scheduler::{
            Announcement, EnginesToPause, Order, OrderResult, Outcome, RateShare,
            SchedulerSettings, Work,
        },
    },
    scheduler_world::{ENGINES, World, engine, generation, limits, version},
    std::collections::HashMap,
};

#[test]
fn a_queued_request_starts_one_load() {
    // Guards against a second load on another engine while the first one waits for an eviction.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.add_engine(UpstreamId(1), &[3, 4]);
    for used in [1, 3] {
        let request = world.generate(used);
        world.first_event(request);
    }
    world.engines_answer = false;
    let request = world.generate(9);
    assert_eq!(world.orders.len(), 1, "one slot is being freed");
    world.advance(60);
    assert_eq!(
        world.orders.len(),
        1,
        "no other slot is freed: {:?}",
        world.orders
    );
    let (upstream, unload) = world.unanswered.remove(0);
    world.answer(upstream, unload, OrderResult::Holds);
    let (upstream, load) = world.unanswered.remove(0);
    world.answer(upstream, load, OrderResult::Accepted);
    assert_eq!(world.loads_of(9), 1);
    world.advance(300);
    assert_eq!(world.sent_to(request), Some(upstream));
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    // Guards against evicting an adapter that a running request uses, which would abort its answer.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let first = world.generate(1);
    world.first_event(first);
    let second = world.generate(2);
    world.first_event(second);
    let third = world.generate(3);
    world.advance(200);
    assert_eq!(world.orders, [], "no adapter can be evicted");
    world.end(first, Outcome::Answered { took: world.now });
    world.advance(400);
    assert_eq!(world.sent_to(third), Some(UpstreamId(0)));
    let dropped = world.orders.iter().find_map(|(_, order)| match order {
        Order::Unload { adapter, .. } => Some(adapter.adapter),
        _ => None,
    });
    assert_eq!(dropped, Some(AdapterId(1)));
}

#[test]
fn a_short_wait_is_preferred_to_a_second_copy() {
    // Guards against a needless load on an idle engine when the engine that has the adapter can
    // serve all three in time.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    for _ in 0..3 {
        world.generate(1);
    }
    world.advance(100);
    assert_eq!(world.loads_of(1), 0);
}

#[test]
fn a_burst_of_requests_gets_a_second_copy() {
    // Guards against queueing thirty requests at the only engine with the adapter while another
    // engine is idle.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    for _ in 0..30 {
        world.generate(1);
    }
    world.advance(100);
    assert_eq!(world.loads_of(1), 1);
}

#[test]
fn a_recently_evicted_adapter_reloads_on_the_same_engine() {
    // Guards against a cold load on an idle engine when the engine that evicted the adapter still
    // caches it.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let mut job = generation(3, world.now);
    job.excluded_upstreams = vec![];
    let request = world.place(job);
    world.advance(300);
    let at = world.sent_to(request).expect("served after one load");
    world.end(request, Outcome::Answered { took: world.now });
    let dropped = world.orders.iter().find_map(|(_, order)| match order {
        Order::Unload { adapter, .. } => Some(adapter.adapter.0),
        _ => None,
    });
    let dropped = dropped.expect("an adapter was evicted");
    world.add_engine(UpstreamId(1), &[]);
    let again = world.generate(dropped);
    world.advance(100);
    assert_eq!(world.sent_to(again), Some(at));
}

#[test]
fn an_outdated_report_is_ignored() {
    // Guards against dropping a load in progress because of a report made before it was ordered:
    // the engine would be given more adapters than it has slots for.
    let mut world = World::leading(1);
    let request = world.generate(7);
    assert_eq!(world.loads_of(7), 1);
    world.report(UpstreamId(0), &engine(Some(0), &[]));
    world.advance(300);
    assert_eq!(world.loads_of(7), 1, "the load is still in progress");
    assert_eq!(world.sent_to(request), Some(UpstreamId(0)));
}

#[test]
fn an_unanswered_order_is_sent_again() {
    // Guards against a delayed order that takes effect after newer ones. Sending it again with the
    // same sequence number voids the first copy.
    let mut world = World::leading(1);
    world.engines_answer = false;
    let request = world.generate(7);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderResult::Lost);
    assert_eq!(
        world.unanswered,
        [(upstream, order)],
        "the same order is sent again at once"
    );
    world.unanswered.clear();
    world.answer(upstream, order, OrderResult::Accepted);
    world.advance(300);
    assert_eq!(world.sent_to(request), Some(upstream));
}

#[test]
fn two_lost_answers_stop_orders_until_a_report() {
    // Guards against ordering more adapters than the engine has slots for while its state is
    // unknown: it gets no orders until a report has arrived.
    let mut world = World::leading(1);
    world.engines_answer = false;
    world.generate(7);
    let asked = world.reports_asked.len();
    for _ in 0..2 {
        let (upstream, order) = world.unanswered.remove(0);
        world.answer(upstream, order, OrderResult::Lost);
    }
    world.generate(8);
    assert_eq!(
        world.orders.len(),
        2,
        "no orders while its state is unknown"
    );
    world.advance(400);
    assert!(world.reports_asked.len() > asked);
    world.report(UpstreamId(0), &engine(Some(1), &[7]));
    assert_eq!(world.loads_of(8), 1, "orders resume after the report");
}

#[test]
fn an_unreachable_engine_gets_no_repeated_orders() {
    // Guards against a busy loop of orders to an engine that refuses connections.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.engines_answer = false;
    world.generate(9);
    for _ in 0..20 {
        if let Some((upstream, order)) = world.unanswered.pop() {
            world.answer(upstream, order, OrderResult::Unsent);
        }
    }
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn the_old_version_serves_until_the_new_one_is_loaded() {
    // Guards against an interruption while version 2 loads, and against use of version 1 once it is
    // loaded.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    let running = world.generate(1);
    world.first_event(running);
    world.scheduler.announce_version(
        AdapterId(1),
        2,
        Announcement::New {
            absent_at: world.now,
        },
        world.now,
    );
    let during = world.generate(1);
    assert_eq!(
        world.sent_to(during),
        Some(UpstreamId(0)),
        "served by version 1 meanwhile"
    );
    world.first_event(during);
    world.advance(400);
    let load = Order::Load {
        model: scheduler_world::MODEL,
        adapter: version(1, 2),
        announced: true,
    };
    assert!(
        world.orders.contains(&(UpstreamId(1), load)),
        "{:?}",
        world.orders
    );
    let after = world.generate(1);
    assert_eq!(
        world.decision(after),
        Some(scheduler_world::Decision::Sent(UpstreamId(1), Some(2)))
    );
}

#[test]
fn a_standby_sends_no_orders() {
    // Guards against two schedulers that send orders to the same engine.
    let mut world = World::with(1, SchedulerSettings::default(), false);
    world.generate(7);
    world.advance(1_000);
    assert_eq!(world.orders, []);
}

#[test]
fn a_version_found_at_startup_gets_no_grace_period() {
    // Guards against restarting the grace period of an old version when a VM starts after the
    // announcement.
    let mut world = World::leading(0);
    world
        .scheduler
        .announce_version(AdapterId(1), 2, Announcement::Found, world.now);
    world.add_engine(UpstreamId(0), &[1]);
    let request = world.generate(1);
    assert_eq!(world.decision(request), None, "version 1 must not be used");
    world.advance(400);
    assert_eq!(
        world.decision(request),
        Some(scheduler_world::Decision::Sent(UpstreamId(0), Some(2)))
    );
}

#[test]
fn a_new_leader_evicts_nothing_at_first() {
    // Guards against evicting an adapter that is in use by requests the new leader doesn't know
    // yet, which would block the engine until they end.
    let mut world = World::with(0, SchedulerSettings::default(), false);
    world
        .scheduler
        .set_role(true, RateShare::TakenOver, world.now);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let request = world.generate(9);
    world.advance(300);
    assert_eq!(world.orders, []);
    world.advance(600);
    assert_eq!(world.loads_of(9), 1);
    assert!(world.sent_to(request).is_some());
}

#[test]
fn an_engine_draining_an_adapter_gets_no_orders() {
    // Guards against further orders to an engine that waits for requests of an unreachable VM
    // before it unloads an adapter.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.engines_answer = false;
    world.generate(9);
    let (upstream, unload) = world.unanswered.remove(0);
    let Order::Unload { adapter, .. } = unload else {
        panic!("expected an unload order: {unload:?}");
    };
    world.answer(upstream, unload, OrderResult::Accepted);
    world.report(upstream, &engine(Some(1), &[1, 2]));
    world.advance(300);
    assert_eq!(world.orders.len(), 1, "no orders while it waits");
    let left = 3 - adapter.adapter.0;
    world.report(upstream, &engine(Some(1), &[left]));
    assert_eq!(world.loads_of(9), 1, "the slot is free now");
}

#[test]
fn engines_without_fencing_tokens_wait_for_the_order_gap() {
    // Guards against orders of two consecutive schedulers that overlap on an engine without fencing
    // tokens.
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, false);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.add_engine(UpstreamId(0), &[]);
    let request = world.generate(9);
    world.advance(2_900);
    assert_eq!((world.orders.len(), world.reports_asked.len()), (0, 0));
    world.advance(200);
    assert_eq!(world.loads_of(9), 1);
    world.advance(400);
    assert!(world.sent_to(request).is_some());
}

/// A world just after a takeover, with an order gap of three seconds.
fn world_after_takeover(engines: u32) -> World {
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(engines, settings, false);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    for id in 0..engines {
        world.report(UpstreamId(id), &engine(Some(0), &[]));
    }
    world
}

#[test]
fn an_engine_idle_for_the_order_gap_gets_orders_at_once() {
    // Guards against waiting the order gap again for an engine that got no orders for that long
    // before the handover.
    let mut world = world_after_takeover(2);
    world
        .scheduler
        .set_order_idle_time(UpstreamId(1), Millis(3_000), world.now);
    world
        .scheduler
        .set_order_idle_time(UpstreamId(0), Millis(1_000), world.now);
    let request = world.generate(9);
    world.advance(400);
    assert_eq!(world.sent_to(request), Some(UpstreamId(1)));
    assert!(world.orders.iter().all(|(of, _)| *of == UpstreamId(1)));
    world.advance(1_700);
    for adapter in 10..16 {
        world.generate(adapter);
    }
    world.advance(400);
    let has_order_for_other = world.orders.iter().any(|(of, _)| *of == UpstreamId(0));
    assert!(
        has_order_for_other,
        "the order gap of the other engine is over"
    );
}

#[test]
fn an_engine_configured_after_a_takeover_waits_for_the_order_gap() {
    // Guards against an order within the gap to an upstream that the configuration names as an
    // engine after the takeover.
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, false);
    world.scheduler.set_engines(HashMap::new());
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.add_engine(UpstreamId(0), &[]);
    let engines = HashMap::from([(ENGINES, limits())]);
    world.scheduler.set_engines(engines);
    world.report(UpstreamId(0), &engine(Some(0), &[]));
    world.generate(9);
    world.advance(2_900);
    assert_eq!(world.orders, []);
    world.advance(200);
    assert_eq!(world.loads_of(9), 1);
}

#[test]
fn a_restart_on_the_same_vm_skips_the_order_gap() {
    // Guards against a needless order gap when the scheduler process restarts and becomes leader
    // again.
    let mut world = world_after_takeover(1);
    world.scheduler.skip_order_gap(world.now);
    let request = world.generate(9);
    world.advance(400);
    assert!(world.sent_to(request).is_some());
}

#[test]
fn half_the_engines_get_no_orders_before_a_planned_stop() {
    // Guards against a planned stop after which the next scheduler must wait the order gap on every
    // engine.
    let mut world = World::leading(4);
    world.scheduler.pause_orders(EnginesToPause::EverySecond);
    for adapter in 1..5 {
        world.generate(adapter);
    }
    world.advance(400);
    let ordered: Vec<u32> = world.orders.iter().map(|(of, _)| of.0).collect();
    assert!(!ordered.is_empty());
    assert!(ordered.iter().all(|of| of % 2 == 1), "{ordered:?}");
    world.advance(3_000);
    world.scheduler.pause_orders(EnginesToPause::All);
    let before = world.orders.len();
    world.generate(7);
    world.advance(400);
    assert_eq!(
        world.orders.len(),
        before,
        "no orders after all engines were stopped"
    );
    for (upstream, idle_time) in world.scheduler.order_idle_times(world.now) {
        assert!(idle_time >= Millis(3_000), "{upstream:?}: {idle_time:?}");
    }
}

#[test]
fn order_idle_times_count_from_the_takeover_at_most() {
    // Guards against reporting an engine as idle for longer than this scheduler has led: the
    // previous one may have sent it an order just before the takeover.
    let mut world = world_after_takeover(1);
    world.advance(1_000);
    world.scheduler.pause_orders(EnginesToPause::All);
    assert_eq!(
        world.scheduler.order_idle_times(world.now),
        [(UpstreamId(0), Millis(1_000))]
    );
}

#[test]
fn a_wrong_order_count_is_corrected() {
    // Guards against an engine without orders for good after it counted one order fewer than the
    // scheduler, whose reports would then all look outdated.
    let mut world = World::leading(1);
    world.engines_answer = false;
    world.generate(7);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderResult::Accepted);
    world.advance(300);
    world.generate(8);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderResult::Conflict);
    world.unanswered.clear();
    world.advance(400);
    assert!(!world.reports_asked.is_empty());
    let before = world.orders.len();
    world.report(upstream, &engine(Some(0), &[7]));
    world.advance(50);
    assert_eq!(
        world.orders.len(),
        before + 1,
        "the engine gets orders again"
    );
}

#[test]
fn an_engine_without_measurements_is_used() {
    // Guards against an engine that stays idle because its unmeasured prompt speed is assumed to be
    // slow.
    let mut world = World::leading(4);
    let mut ready = Vec::new();
    for adapter in 0..40 {
        let mut job = generation(adapter, world.now);
        if let Work::Generation(generation) = &mut job.work {
            generation.size.prompt = 9_000;
            generation.parts.clear();
        }
        ready.push(world.place(job));
        world.advance(100);
        // Engines process 40 prompt tokens per millisecond, and the answer is short.
        let sent: Vec<u64> = ready
            .iter()
            .copied()
            .filter(|&number| world.sent_to(number).is_some())
            .collect();
        if let Some(&number) = sent.first() {
            world.advance(125);
            world.first_event(number);
            world.end(number, Outcome::Answered { took: Millis(225) });
            ready.retain(|&of| of != number);
        }
    }
    let mut used: Vec<UpstreamId> = world
        .decisions
        .keys()
        .filter_map(|&n| world.sent_to(n))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn a_load_that_nothing_confirms_is_not_undone() {
    // Guards against unloading an adapter that is late: its load would end after the one that takes its slot.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let running = world.generate(2);
    world.first_event(running);
    let abandoned = world.generate(3);
    while world.loads_of(3) == 0 {
        world.advance(5);
    }
    world.end(abandoned, Outcome::Abandoned);
    world.advance(260);
    world.orders.clear();
    world.generate(4);
    world.advance(300);
    assert_eq!(world.orders, [], "the load of 3 may be late");
    world.advance(1_500);
    assert_eq!(world.loads_of(4), 1, "{:?}", world.orders);
}
