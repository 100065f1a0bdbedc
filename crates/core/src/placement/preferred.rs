use {
    super::EngineSlot,
    crate::ids::{AdapterVersion, UpstreamId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The score of one candidate for one thing to be placed; the highest score wins.
///
/// Weighted rendezvous hashing: everybody who knows the same candidates finds the same winner
/// without talking, and a candidate that comes or goes moves only its own share.
pub fn rendezvous(
    thing: u64,
    candidate: u64,
    weight: u32,
) -> f64 {
    let hash = rendezvous_hash(thing, candidate);
    // In (0, 1): the logarithm below is finite and negative.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / unit.ln()
}

/// How much a thing prefers a candidate over others of the same weight; orders them as [`rendezvous`] does.
pub fn rendezvous_hash(
    thing: u64,
    candidate: u64,
) -> u64 {
    xxh3_64_with_seed(&thing.to_le_bytes(), candidate)
}

/// The `k` engines on which an adapter should live, best first.
///
/// Versions of one adapter prefer the same engines: a rollout then moves demand between two
/// instances on one engine and leaves the others as they are. As long as other data centres have
/// engines left, each further choice stands in a data centre that has none yet, so that the loss
/// of a data centre takes one copy.
pub fn preferred(
    adapter: AdapterVersion,
    engines: &[EngineSlot],
    k: usize,
) -> Vec<UpstreamId> {
    let mut ranked: Vec<(f64, EngineSlot)> = engines
        .iter()
        .filter(|engine| engine.weight > 0)
        .map(|&engine| (score(adapter, engine), engine))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.upstream.cmp(&b.1.upstream)));
    spread(&ranked, k)
}

fn score(
    adapter: AdapterVersion,
    engine: EngineSlot,
) -> f64 {
    rendezvous(
        u64::from(adapter.adapter.0),
        u64::from(engine.upstream.0),
        engine.weight,
    )
}

/// Takes the best engines, going round the data centres.
fn spread(
    ranked: &[(f64, EngineSlot)],
    k: usize,
) -> Vec<UpstreamId> {
    let mut left: Vec<EngineSlot> = ranked.iter().map(|&(_, engine)| engine).collect();
    let mut chosen = Vec::with_capacity(k.min(left.len()));
    while chosen.len() < k && !left.is_empty() {
        let mut used = Vec::new();
        left.retain(|engine| {
            let take = chosen.len() < k && !used.contains(&engine.data_centre);
            if take {
                used.push(engine.data_centre);
                chosen.push(engine.upstream);
            }
            !take
        });
    }
    chosen
}
