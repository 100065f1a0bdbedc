//! When an adapter is loaded, where, and what goes for it.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AdapterId, UpstreamId},
        scheduler::{
            Announcement, Order, OrderEnd, Outcome, Rest, RightsShare, SchedulerSettings, Work,
        },
    },
    scheduler_world::{ENGINES, World, engine, generation, limits, version},
    std::collections::HashMap,
};

#[test]
fn a_waiting_request_has_one_load() {
    // Each of two engines has one place in use and one idle when a request for another adapter comes. One engine
    // has to drop its idle adapter first, and its answer to that takes a moment. In that moment it had nothing
    // left to offer, so the adapter was loaded on the other engine too; the users pay for every load.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.add_engine(UpstreamId(1), &[3, 4]);
    for used in [1, 3] {
        let request = world.generate(used);
        world.first_event(request);
    }
    world.engines_answer = false;
    let request = world.generate(9);
    assert_eq!(world.orders.len(), 1, "one place is made free");
    world.pass(60);
    assert_eq!(world.orders.len(), 1, "and no other: {:?}", world.orders);
    let (upstream, unload) = world.unanswered.remove(0);
    world.answer(upstream, unload, OrderEnd::Holds);
    let (upstream, load) = world.unanswered.remove(0);
    world.answer(upstream, load, OrderEnd::Accepted);
    assert_eq!(world.loads_of(9), 1);
    world.pass(300);
    assert_eq!(world.sent_to(request), Some(upstream));
}

#[test]
fn an_adapter_in_use_stays() {
    // Both places of the only engine run something when a request for a third adapter comes. Dropping one in
    // use would break off its answer; the request waits until one of them is free.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let first = world.generate(1);
    world.first_event(first);
    let second = world.generate(2);
    world.first_event(second);
    let third = world.generate(3);
    world.pass(200);
    assert_eq!(world.orders, [], "nothing can go");
    world.end(first, Outcome::Answered { took: world.now });
    world.pass(400);
    assert_eq!(world.sent_to(third), Some(UpstreamId(0)));
    let dropped = world.orders.iter().find_map(|(_, order)| match order {
        Order::Unload { adapter, .. } => Some(adapter.adapter),
        _ => None,
    });
    assert_eq!(dropped, Some(AdapterId(1)));
}

#[test]
fn a_copy_is_waited_for_rather_than_loaded_again() {
    // Three requests for one adapter come together; one engine has it, another is idle. The prompts are read one
    // after the other in a few hundred milliseconds, which is in time, and a second copy costs a load.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    for _ in 0..3 {
        world.generate(1);
    }
    world.pass(100);
    assert_eq!(world.loads_of(1), 0);
}

#[test]
fn a_crowd_gets_a_second_copy() {
    // Thirty requests for one adapter come at once. At some twenty tokens a millisecond its only engine would read
    // their prompts for seconds, and most would be late although another engine is idle.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    for _ in 0..30 {
        world.generate(1);
    }
    world.pass(100);
    assert_eq!(world.loads_of(1), 1);
}

#[test]
fn what_an_engine_dropped_lately_returns_there() {
    // An engine drops an adapter for another one, and the first is asked for again. That engine still has it at
    // hand and loads it in a tenth of the time and for nothing, an idle one would have to fetch it.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let mut job = generation(3, world.now);
    job.avoid = vec![];
    let request = world.place(job);
    world.pass(300);
    let at = world.sent_to(request).expect("served after one load");
    world.end(request, Outcome::Answered { took: world.now });
    let dropped = world.orders.iter().find_map(|(_, order)| match order {
        Order::Unload { adapter, .. } => Some(adapter.adapter.0),
        _ => None,
    });
    let dropped = dropped.expect("one had to go");
    world.add_engine(UpstreamId(1), &[]);
    let again = world.generate(dropped);
    world.pass(100);
    assert_eq!(world.sent_to(again), Some(at));
}

#[test]
fn an_old_report_changes_nothing() {
    // A report tells what was some hundred milliseconds ago. One that was made before the last order would take
    // an adapter off the book that is on its way, and the engine would be given more than it holds: it crashes.
    let mut world = World::leading(1);
    let request = world.generate(7);
    assert_eq!(world.loads_of(7), 1);
    world.report(UpstreamId(0), &engine(Some(0), &[]));
    world.pass(300);
    assert_eq!(world.loads_of(7), 1, "it is on its way still");
    assert_eq!(world.sent_to(request), Some(UpstreamId(0)));
}

#[test]
fn an_order_without_an_answer_is_repeated() {
    // An order's answer is lost, and the engine carries the order out seconds later, after newer ones: an adapter
    // goes while it is used, or one too many comes. The same order once more makes the first one void, as each
    // names how many the engine has accepted before it.
    let mut world = World::leading(1);
    world.engines_answer = false;
    let request = world.generate(7);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderEnd::Lost);
    assert_eq!(world.unanswered, [(upstream, order)], "again, at once");
    world.unanswered.clear();
    world.answer(upstream, order, OrderEnd::Accepted);
    world.pass(300);
    assert_eq!(world.sent_to(request), Some(upstream));
}

#[test]
fn two_lost_answers_end_trust() {
    // An engine answers nothing. What it holds is not known any more; whoever counts places without asking may order
    // one too many, and the engine crashes. So it is asked, after the time by which reports lag.
    let mut world = World::leading(1);
    world.engines_answer = false;
    world.generate(7);
    let asked = world.reports_asked.len();
    for _ in 0..2 {
        let (upstream, order) = world.unanswered.remove(0);
        world.answer(upstream, order, OrderEnd::Lost);
    }
    world.generate(8);
    assert_eq!(world.orders.len(), 2, "no further order while in doubt");
    world.pass(400);
    assert!(world.reports_asked.len() > asked);
    world.report(UpstreamId(0), &engine(Some(1), &[7]));
    assert_eq!(world.loads_of(8), 1, "orders go on after the report");
}

#[test]
fn an_engine_out_of_reach_is_not_asked_again_and_again() {
    // An engine has crashed and refuses connections. Without a pause the same order was tried three times in a
    // millisecond, for as long as its entry was there, and nothing else was decided meanwhile.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.engines_answer = false;
    world.generate(9);
    for _ in 0..20 {
        if let Some((upstream, order)) = world.unanswered.pop() {
            world.answer(upstream, order, OrderEnd::Unsent);
        }
    }
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn a_new_version_replaces_the_old_one_in_time() {
    // An operator announces version 2 while version 1 runs. Requests that begin on version 1 seconds later run
    // on weights that were withdrawn; refusing them until the load is over would stop the adapter for a moment.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_engine(UpstreamId(1), &[]);
    let running = world.generate(1);
    world.first_event(running);
    world
        .scheduler
        .announce_version(AdapterId(1), 2, Announcement::New, world.now);
    let during = world.generate(1);
    assert_eq!(
        world.sent_to(during),
        Some(UpstreamId(0)),
        "served by version 1 meanwhile"
    );
    world.first_event(during);
    world.pass(400);
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
fn a_stand_by_gives_no_orders() {
    // A VM that has lost the scheduler decides for itself. If it gave orders too, two would count the places of
    // one engine.
    let mut world = World::with(1, SchedulerSettings::default(), false);
    world.generate(7);
    world.pass(1_000);
    assert_eq!(world.orders, []);
}

#[test]
fn a_version_found_at_the_start_is_in_force() {
    // A VM starts seconds after an operator announced a version, reads that in the store and is elected. If it
    // took the announcement for new, requests would begin on the old version long after it was withdrawn.
    let mut world = World::leading(0);
    world
        .scheduler
        .announce_version(AdapterId(1), 2, Announcement::Found, world.now);
    world.add_engine(UpstreamId(0), &[1]);
    let request = world.generate(1);
    assert_eq!(world.decision(request), None, "version 1 is no longer used");
    world.pass(400);
    assert_eq!(
        world.decision(request),
        Some(scheduler_world::Decision::Sent(UpstreamId(0), Some(2)))
    );
}

#[test]
fn a_new_leader_drops_nothing_at_first() {
    // A VM is elected and knows nothing yet of what the others have sent. Had it dropped an adapter for another
    // one at once, the engine would have waited for the runs on it, seconds long, and taken no other order.
    let mut world = World::with(0, SchedulerSettings::default(), false);
    world
        .scheduler
        .set_role(true, RightsShare::TakenOver, world.now);
    world.add_engine(UpstreamId(0), &[1, 2]);
    let request = world.generate(9);
    world.pass(300);
    assert_eq!(world.orders, []);
    world.pass(600);
    assert_eq!(world.loads_of(9), 1);
    assert!(world.sent_to(request).is_some());
}

#[test]
fn an_engine_that_waits_for_runs_is_left_alone() {
    // A VM that is cut off still runs something on an adapter that is ordered to go. The engine accepts the order
    // and waits; more orders are refused, one after the other, and requests for that adapter too.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1, 2]);
    world.engines_answer = false;
    world.generate(9);
    let (upstream, unload) = world.unanswered.remove(0);
    let Order::Unload { adapter, .. } = unload else {
        panic!("a place has to be made free: {unload:?}");
    };
    world.answer(upstream, unload, OrderEnd::Accepted);
    world.report(upstream, &engine(Some(1), &[1, 2]));
    world.pass(300);
    assert_eq!(world.orders.len(), 1, "nothing more while it waits");
    let left = 3 - adapter.adapter.0;
    world.report(upstream, &engine(Some(1), &[left]));
    assert_eq!(world.loads_of(9), 1, "its place is free now");
}

#[test]
fn engines_without_tokens_get_no_orders_in_a_takeover() {
    // An engine checks no fencing tokens. The scheduler before sent it an order with its last breath; one of the next
    // scheduler in the same moment would be carried out beside it, and one adapter too many make the engine crash.
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, false);
    let share = RightsShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.add_engine(UpstreamId(0), &[]);
    let request = world.generate(9);
    world.pass(2_900);
    assert_eq!((world.orders.len(), world.reports_asked.len()), (0, 0));
    world.pass(200);
    assert_eq!(world.loads_of(9), 1);
    world.pass(400);
    assert!(world.sent_to(request).is_some());
}

fn with_gap(engines: u32) -> World {
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(engines, settings, false);
    let share = RightsShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    for id in 0..engines {
        world.report(UpstreamId(id), &engine(Some(0), &[]));
    }
    world
}

#[test]
fn a_rested_engine_is_ordered_at_once() {
    // A leader stops as planned and tells that one of two engines has had no order for three seconds. If its follower
    // let that one rest again, a caller would wait seconds for an adapter that could be loaded now.
    let mut world = with_gap(2);
    world
        .scheduler
        .note_rested(UpstreamId(1), Millis(3_000), world.now);
    world
        .scheduler
        .note_rested(UpstreamId(0), Millis(1_000), world.now);
    let request = world.generate(9);
    world.pass(400);
    assert_eq!(world.sent_to(request), Some(UpstreamId(1)));
    assert!(world.orders.iter().all(|(of, _)| *of == UpstreamId(1)));
    world.pass(1_700);
    for adapter in 10..16 {
        world.generate(adapter);
    }
    world.pass(400);
    let of_other = world.orders.iter().any(|(of, _)| *of == UpstreamId(0));
    assert!(of_other, "the other one has rested by now");
}

#[test]
fn an_engine_named_late_rests_too() {
    // A scheduler takes over before it has the configuration that says which upstreams are engines. One that it knew as a
    // plain upstream until then may have had an order from the scheduler before just now, like any other.
    let settings = SchedulerSettings {
        order_gap: Millis(3_000),
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, false);
    world.scheduler.set_engines(HashMap::new());
    let share = RightsShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.add_engine(UpstreamId(0), &[]);
    let engines = HashMap::from([(ENGINES, limits())]);
    world.scheduler.set_engines(engines);
    world.report(UpstreamId(0), &engine(Some(0), &[]));
    world.generate(9);
    world.pass(2_900);
    assert_eq!(world.orders, []);
    world.pass(200);
    assert_eq!(world.loads_of(9), 1);
}

#[test]
fn ones_own_orders_need_no_rest() {
    // The process that schedules is killed and leads again at once. To engines it is the same orderer, so nobody has to
    // wait for a load.
    let mut world = with_gap(1);
    world.scheduler.continue_own_orders(world.now);
    let request = world.generate(9);
    world.pass(400);
    assert!(world.sent_to(request).is_some());
}

#[test]
fn half_the_engines_rest_before_a_stop() {
    // Before a planned stop every second engine gets its last order, so that the next scheduler may order it at once.
    // Loads go to the others meanwhile, and what had been idle for long is told to have rested.
    let mut world = World::leading(4);
    world.scheduler.rest(Rest::EverySecond);
    for adapter in 1..5 {
        world.generate(adapter);
    }
    world.pass(400);
    let ordered: Vec<u32> = world.orders.iter().map(|(of, _)| of.0).collect();
    assert!(!ordered.is_empty());
    assert!(ordered.iter().all(|of| of % 2 == 1), "{ordered:?}");
    world.pass(3_000);
    world.scheduler.rest(Rest::All);
    let before = world.orders.len();
    world.generate(7);
    world.pass(400);
    assert_eq!(world.orders.len(), before, "no order after the last word");
    for (upstream, rested) in world.scheduler.rested(world.now) {
        assert!(rested >= Millis(3_000), "{upstream:?}: {rested:?}");
    }
}

#[test]
fn a_short_lead_knows_no_rest() {
    // A scheduler is stopped a second after it took over. An engine that it has not ordered may have had an order from the
    // one before it just then. Told that it has rested for ever, the third one orders it 1.2 seconds after the first did.
    let mut world = with_gap(1);
    world.pass(1_000);
    world.scheduler.rest(Rest::All);
    assert_eq!(
        world.scheduler.rested(world.now),
        [(UpstreamId(0), Millis(1_000))]
    );
}

#[test]
fn a_wrong_count_of_orders_is_mended() {
    // An engine says of an order that what it asks for holds already and doesn't count it. The book counts one order more
    // than the engine, and the next one conflicts. Were every report taken for an old one because it counts fewer,
    // the engine would get no order for as long as the scheduler lives.
    let mut world = World::leading(1);
    world.engines_answer = false;
    world.generate(7);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderEnd::Accepted);
    world.pass(300);
    world.generate(8);
    let (upstream, order) = world.unanswered.remove(0);
    world.answer(upstream, order, OrderEnd::Conflict);
    world.unanswered.clear();
    world.pass(400);
    assert!(!world.reports_asked.is_empty());
    let before = world.orders.len();
    world.report(upstream, &engine(Some(0), &[7]));
    world.pass(50);
    assert_eq!(world.orders.len(), before + 1, "it is ordered again");
}

#[test]
fn an_idle_engine_is_used() {
    // Long prompts come for adapters that no engine has. Engines that have read some are known to be quick; one that has
    // read none yet must not be taken for slow, or callers wait behind others while it does nothing.
    let mut world = World::leading(4);
    let mut ready = Vec::new();
    for adapter in 0..40 {
        let mut job = generation(adapter, world.now);
        if let Work::Generation(generation) = &mut job.work {
            generation.size.prompt = 9_000;
            generation.parts.clear();
        }
        ready.push(world.place(job));
        world.pass(100);
        // Engines read 40 tokens in a millisecond, and the answer is short.
        let sent: Vec<u64> = ready
            .iter()
            .copied()
            .filter(|&number| world.sent_to(number).is_some())
            .collect();
        if let Some(&number) = sent.first() {
            world.pass(125);
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
