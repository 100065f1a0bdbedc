use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{ops::Range, time::Duration},
};

/// Time between two series of configurations, in milliseconds.
const SERIES_INTERVAL_MS: Range<u64> = 700..1_100;
/// Configurations of a series, and the time between two of them, in milliseconds.
const SERIES_LENGTH: Range<usize> = 1..4;
const CONFIG_INTERVAL_MS: Range<u64> = 10..300;
/// Time between two signals, in milliseconds.
const SIGNAL_INTERVAL_MS: Range<u64> = 300..1_500;
/// Part of the seeds in which VMs are stopped and killed, too.
const RESTARTS_SHARE: f64 = 0.5;

/// What an operator does.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    Configure,
    Hangup(usize),
    Stop(usize),
    Kill(usize),
}

/// The operator's actions of a seed.
pub fn plan(
    seed: u64,
    length: Duration,
    vms: usize,
) -> Vec<(Duration, Action)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        at += draw_ms(&mut rng, SERIES_INTERVAL_MS);
        let mut config_at = at;
        for _ in 0..rng.random_range(SERIES_LENGTH) {
            plan.push((config_at, Action::Configure));
            config_at += draw_ms(&mut rng, CONFIG_INTERVAL_MS);
        }
    }
    let has_restarts = rng.random_bool(RESTARTS_SHARE);
    let mut at = Duration::ZERO;
    while at < length {
        at += draw_ms(&mut rng, SIGNAL_INTERVAL_MS);
        let vm = rng.random_range(0..vms);
        let action = match rng.random_range(0..6) {
            0 if has_restarts => Action::Kill(vm),
            1 if has_restarts => Action::Stop(vm),
            _ => Action::Hangup(vm),
        };
        plan.push((at, action));
    }
    plan.sort_by_key(|&(at, _)| at);
    plan
}

fn draw_ms(
    rng: &mut ChaCha8Rng,
    range: Range<u64>,
) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
