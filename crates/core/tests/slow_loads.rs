//! An adapter store that is slower than configured.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{EngineStatus, Order, Outcome},
    },
    scheduler_world::{World, engine},
    std::collections::HashMap,
};

/// Actual duration of a cold load; the settings say 250 ms.
const LOAD_TIME: Millis = Millis(450);
const PREFILL_TIME: Millis = Millis(100);

/// The engine's report after the orders that it received.
fn report(
    world: &World,
    id: UpstreamId,
    loaded_at: &HashMap<(UpstreamId, u32), Millis>,
) -> EngineStatus {
    let orders = || world.orders.iter().filter(|&&(to, _)| to == id);
    let mut held = Vec::new();
    for (_, order) in orders() {
        match *order {
            Order::Load { adapter, .. } => held.push(adapter.adapter.0),
            Order::Unload { adapter, .. } => held.retain(|&of| of != adapter.adapter.0),
            Order::LoadModel(_) => {}
        }
    }
    let (present, coming): (Vec<u32>, Vec<u32>) = held
        .into_iter()
        .partition(|&adapter| loaded_at[&(id, adapter)] <= world.now);
    let seq = Some(orders().count() as u64);
    EngineStatus {
        started_unix_ms: None,
        coming: engine(None, &coming).adapters,
        ..engine(seq, &present)
    }
}

/// Sends one request per adapter, one every 40 ms.
///
/// Returns the index of the adapter for each request that was sent too early.
fn early_requests(requests: u32) -> Vec<u32> {
    let mut world = World::leading(60);
    let mut loaded_at = HashMap::new();
    let mut seen_orders = 0;
    let mut waiting: Vec<(u64, u32)> = Vec::new();
    let mut prefilling: Vec<(Millis, u64)> = Vec::new();
    let mut early = Vec::new();
    for step in 0..requests * 10 + 400 {
        if step % 10 == 0 && step / 10 < requests {
            let adapter = 1_000 + step / 10;
            waiting.push((world.generate(adapter), adapter));
        }
        world.advance(4);
        let now = world.now;
        for (upstream, order) in &world.orders[seen_orders..] {
            if let Order::Load { adapter, .. } = order {
                loaded_at.insert((*upstream, adapter.adapter.0), now + LOAD_TIME);
            }
        }
        seen_orders = world.orders.len();
        for id in std::mem::take(&mut world.reports_asked) {
            let status = report(&world, id, &loaded_at);
            world.report(id, &status);
        }
        let asked = std::mem::take(&mut waiting);
        for (number, adapter) in asked {
            match world.sent_to(number) {
                None => waiting.push((number, adapter)),
                Some(id) if loaded_at.get(&(id, adapter)).is_some_and(|&at| at <= now) => {
                    prefilling.push((now + PREFILL_TIME, number));
                }
                Some(_) => {
                    early.push(adapter - 1_000);
                    world.end(number, Outcome::NotLoaded);
                    waiting.push((world.generate(adapter), adapter));
                }
            }
        }
        for (_, number) in prefilling.extract_if(.., |&mut (at, _)| at <= now) {
            world.first_event(number);
            world.end(number, Outcome::Answered { took: PREFILL_TIME });
        }
    }
    assert!(
        waiting.is_empty(),
        "{} requests were not served",
        waiting.len()
    );
    early
}

/// Guards against using up the retry budget with early requests while the store is slow.
#[test]
fn late_loads_raise_the_expected_load_time() {
    let early = early_requests(200);
    let retries = early.iter().filter(|&&number| number >= 100).count();
    assert!(
        retries <= 20,
        "{retries} of the last 100 requests were sent early"
    );
}
