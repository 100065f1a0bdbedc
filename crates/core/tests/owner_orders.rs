//! Generated orders of events against owners, gateways and engines.
//!
//! Messages are lost, doubled, delayed and reordered; processes freeze, thaw and restart; leases
//! lapse. In each order: no unload hits an instance with work on it, each request runs on exactly
//! its adapter and version, and once the disturbances end, nobody waits for ever.
//!
//! CI runs a fixed set of seeds. A long run: `JASMINE_ORDERS=20000 JASMINE_FIRST_ORDER=10000 cargo
//! test --release -p jasmine-core --test owner_orders`. A seed that fails joins the list.

mod world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{DataCentreId, UpstreamId},
        ownership::OwnerSettings,
        routing::RouterSettings,
    },
    rand::{RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::env,
    world::{FakeEngine, Message, NOBODY, World, adapter},
};

const CONTROLLERS: usize = 3;
const GATEWAYS: usize = 3;
const ENGINES: usize = 2;
const ADAPTERS: u32 = 6;

/// Orders that CI runs, and the length of each in bytes: three make a step.
const SEEDS: u64 = 500;

/// Orders that have shown a fault: a load ordered under a name whose unload was still out.
const FOUND: [u64; 4] = [3048, 3204, 3810, 5265];
const LENGTH: usize = 3000;

/// When the disturbances have ended, everybody is served in this many rounds of 100 ms.
const CALM_ROUNDS: usize = 900;

/// Short times, so that an order of a few hundred steps holds many loads and unloads.
fn hasty(can_order_past_lease: bool) -> (OwnerSettings, RouterSettings) {
    let owner = OwnerSettings {
        can_order_past_lease,
        gateway_silence_timeout: Millis(1500),
        recall_timeout: Millis(300),
        report_timeout: Millis(200),
        min_residence: Millis(50),
        initial_backoff: Millis(100),
        max_backoff: Millis(2000),
        ..OwnerSettings::default()
    };
    let routing = RouterSettings {
        idle_grant_timeout: Millis(300),
        acquire_timeout: Millis(2000),
        not_loaded_delay: Millis(100),
        ..RouterSettings::new(DataCentreId(0))
    };
    (owner, routing)
}

/// Runs one order of events and tells what was wrong.
fn run(bytes: &[u8]) -> Vec<String> {
    let fakes = [FakeEngine::new(0, 2, false), FakeEngine::new(1, 1, true)];
    let (owner, routing) = hasty(bytes.first().is_some_and(|first| first.is_multiple_of(2)));
    let mut world = World::new(&fakes, CONTROLLERS, GATEWAYS, owner, routing);
    for upstream in 0..ENGINES {
        world.own(UpstreamId(upstream as u32), upstream);
    }
    for step in bytes.chunks_exact(3) {
        disturb(
            &mut world,
            step[0],
            usize::from(step[1]),
            usize::from(step[2]),
        );
    }
    calm(&mut world);
    world.faults
}

/// One step; `a` and `b` choose what it hits.
fn disturb(
    world: &mut World,
    kind: u8,
    a: usize,
    b: usize,
) {
    let (c, g) = (a % CONTROLLERS, a % GATEWAYS);
    let upstream = UpstreamId((a % ENGINES) as u32);
    match kind % 64 {
        0..=29 => deliver(world, a, b),
        30..=35 => (0..CONTROLLERS)
            .filter(|&c| !world.controllers[c].frozen)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|c| world.flush(c)),
        36..=41 => {
            let version = 1 + (b as u32 / 64) % 2;
            world.request(g, adapter(b as u32 % ADAPTERS, version), b as u32 % 3);
        }
        42..=46 => world.pass(Millis(10 + 2 * b as u64)),
        47..=49 => world.end_work(upstream),
        50 => world.poll(g),
        51 => world.report(upstream),
        52..=53 => lose(world, a * 256 + b),
        54 => double(world, a * 256 + b),
        55 => give_up(world, a * 256 + b),
        56 => rarely(b, || world.controllers[c].frozen = true),
        57 => world.thaw(c),
        58 => rarely(b, || world.gateways[g].frozen = true),
        59 => world.gateways[g].frozen = false,
        60 => rarely(b, || world.controllers[c].store_lease = world.now),
        61 => rarely(b, || world.restart_controller(c)),
        62 => rarely(b, || world.restart_gateway(g)),
        _ => rarely(b, || world.restart_engine(upstream)),
    }
}

fn rarely<F>(
    chance: usize,
    action: F,
) where
    F: FnOnce(),
{
    if chance.is_multiple_of(3) {
        action();
    }
}

/// The message that `choice` names among those that can arrive now.
fn pick(
    world: &World,
    choice: usize,
) -> Option<usize> {
    let due: Vec<usize> = (0..world.net.len())
        .filter(|&i| world.is_deliverable(&world.net[i]))
        .collect();
    (!due.is_empty()).then(|| due[choice % due.len()])
}

/// Up to eight messages arrive, in an order of their own.
fn deliver(
    world: &mut World,
    a: usize,
    b: usize,
) {
    for turn in 0..=b % 8 {
        if let Some(i) = pick(world, a * 256 + b + turn * 7919) {
            let message = world.net.swap_remove(i);
            world.deliver(message);
        }
    }
}

/// Only what crosses the network can be lost; what a process tells itself can't.
fn is_network(message: &Message) -> bool {
    use jasmine_core::ownership::OwnerEvent::{Acquire, Polled, Released, Reported};
    match message {
        Message::ToOwner(_, event) => {
            matches!(event, Acquire(_) | Polled(_) | Released(_) | Reported(_))
        }
        Message::Answer { .. } => false,
        _ => true,
    }
}

fn lose(
    world: &mut World,
    choice: usize,
) {
    let lost = pick(world, choice).filter(|&i| is_network(&world.net[i]));
    if let Some(i) = lost {
        let message = world.net.swap_remove(i);
        world.lose(&message);
    }
}

/// Orders and requests are sent once over a connection of their own, so they can't be doubled.
fn double(
    world: &mut World,
    choice: usize,
) {
    let doubled = pick(world, choice)
        .filter(|&i| is_network(&world.net[i]))
        .filter(|&i| !matches!(world.net[i], Message::Order(..) | Message::Request { .. }));
    if let Some(i) = doubled {
        let message = world.net[i].clone();
        world.net.push(message);
    }
}

/// The sender of an order stops waiting for its answer; the order is still under way.
fn give_up(
    world: &mut World,
    choice: usize,
) {
    let order = pick(world, choice).filter(|&i| matches!(world.net[i], Message::Order(..)));
    if let Some(i) = order {
        let message = world.net[i].clone();
        world.lose(&message);
        if let Message::Order(c, _) = &mut world.net[i] {
            *c = NOBODY;
        }
    }
}

/// The disturbances end: everybody thaws, and all that waits must come to an end.
fn calm(world: &mut World) {
    for c in 0..CONTROLLERS {
        world.thaw(c);
    }
    for gateway in &mut world.gateways {
        gateway.frozen = false;
    }
    for _ in 0..CALM_ROUNDS {
        world.pass(Millis(100));
        world.settle();
        for upstream in 0..ENGINES {
            world.end_work(UpstreamId(upstream as u32));
        }
        world.settle();
        if world
            .gateways
            .iter()
            .all(|gateway| gateway.waiting.is_empty())
        {
            return;
        }
    }
    let stuck: Vec<String> = world
        .gateways
        .iter()
        .flat_map(|gateway| gateway.waiting.iter())
        .map(|request| request.adapter.to_string())
        .collect();
    world.faults.push(format!("waits for ever: {stuck:?}"));
}

fn generated(seed: u64) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

/// Any of the faults at any moment, together or twice. A user would see an answer cut in the
/// middle, an answer of another adapter, or none at all.
#[test]
fn fixed_seeds() {
    let seeds = number("JASMINE_ORDERS").unwrap_or(SEEDS);
    let first = number("JASMINE_FIRST_ORDER").unwrap_or(0);
    let faulty: Vec<(u64, Vec<String>)> = (first..first + seeds)
        .chain(FOUND)
        .map(|seed| (seed, run(&generated(seed))))
        .filter(|(_, faults)| !faults.is_empty())
        .collect();
    let shown: Vec<_> = faulty.iter().take(5).collect();
    assert!(
        faulty.is_empty(),
        "{} of {seeds} orders: {shown:#?}",
        faulty.len()
    );
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
