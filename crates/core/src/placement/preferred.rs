use {
    super::EngineCandidate,
    crate::ids::{AdapterVersion, UpstreamId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Weighted rendezvous hashing: the score of a candidate for a key; the highest score wins.
///
/// All processes with the same candidates choose the same winner, and adding or removing a
/// candidate moves only the keys of that candidate.
pub fn rendezvous_score(
    key: u64,
    candidate: u64,
    weight: u32,
) -> f64 {
    let hash = rendezvous_hash(key, candidate);
    // In (0, 1): the logarithm below is finite and negative.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / unit.ln()
}

/// Rendezvous hash; orders candidates of equal weight like [`rendezvous_score`].
pub fn rendezvous_hash(
    key: u64,
    candidate: u64,
) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}

/// The `k` preferred engines of an adapter, best first.
///
/// All versions of an adapter prefer the same engines, so a rollout doesn't move load to other
/// engines. The choices alternate between data centres, so the loss of one data centre affects as
/// few copies as possible.
pub fn preferred(
    adapter: AdapterVersion,
    engines: &[EngineCandidate],
    k: usize,
) -> Vec<UpstreamId> {
    let mut ranked: Vec<(f64, EngineCandidate)> = engines
        .iter()
        .filter(|engine| engine.weight > 0)
        .map(|&engine| (score(adapter, engine), engine))
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.upstream.cmp(&b.1.upstream)));
    choose_across_data_centres(&ranked, k)
}

fn score(
    adapter: AdapterVersion,
    engine: EngineCandidate,
) -> f64 {
    rendezvous_score(
        u64::from(adapter.adapter.0),
        u64::from(engine.upstream.0),
        engine.weight,
    )
}

/// Chooses the best engines in rounds, at most one per data centre in each round.
fn choose_across_data_centres(
    ranked: &[(f64, EngineCandidate)],
    k: usize,
) -> Vec<UpstreamId> {
    let mut remaining: Vec<EngineCandidate> = ranked.iter().map(|&(_, engine)| engine).collect();
    let mut chosen = Vec::with_capacity(k.min(remaining.len()));
    while chosen.len() < k && !remaining.is_empty() {
        let mut used_data_centres = Vec::new();
        remaining.retain(|engine| {
            let is_chosen = chosen.len() < k && !used_data_centres.contains(&engine.data_centre);
            if is_chosen {
                used_data_centres.push(engine.data_centre);
                chosen.push(engine.upstream);
            }
            !is_chosen
        });
    }
    chosen
}
