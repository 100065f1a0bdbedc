use {
    super::EngineSlot,
    crate::ids::{AdapterVersion, UpstreamId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Weighted rendezvous hashing: the score of a candidate for a key; the highest score wins.
///
/// All processes with the same candidates choose the same winner, and adding or removing a candidate
/// moves only the keys of that candidate.
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

/// Rendezvous hash; orders candidates of equal weight like [`rendezvous`].
pub fn rendezvous_hash(
    thing: u64,
    candidate: u64,
) -> u64 {
    xxh3_64_with_seed(&thing.to_le_bytes(), candidate)
}

/// The `k` preferred engines of an adapter, best first.
///
/// All versions of an adapter prefer the same engines, so a rollout doesn't move load to other
/// engines. The choices alternate between data centres, so the loss of one data centre affects as few
/// copies as possible.
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

/// Chooses the best engines in rounds, at most one per data centre in each round.
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
