use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterId, AdapterVersion},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
};

/// Number of adapters over all accounts.
pub const ADAPTERS: u32 = 3000;
/// Zipf exponent of adapter popularity within an account.
const ZIPF_EXPONENT: f64 = 1.6;
/// Base request rate of each account, per second.
pub const ACCOUNT_RATES: [f64; 5] = [3.4, 2.2, 1.4, 0.7, 0.3];
/// Each account's share of the adapters, in thousandths.
const ADAPTER_SHARES_PER_MILLE: [u32; 5] = [400, 250, 200, 100, 50];
/// Duration of the request arrivals.
pub const ARRIVAL_DURATION: Millis = Millis::from_secs(200);
/// Start and end of the disturbance.
const DISTURBANCE_START: Millis = Millis::from_secs(80);
const DISTURBANCE_END: Millis = Millis::from_secs(140);
/// Warm-up period; its requests are not measured.
pub const WARM_UP_DURATION: Millis = Millis::from_secs(40);
/// Number of VMs in the serving layer.
pub const VMS: usize = 7;

/// The disturbance during the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// No disturbance.
    #[display("steady")]
    Steady,
    /// The popular adapters change.
    #[display("shift")]
    Shift,
    /// One account sends five times its rate.
    #[display("one-account")]
    OneAccount,
    /// All accounts send twice their rate.
    #[display("everybody")]
    Everybody,
    /// One engine restarts with no adapters loaded.
    #[display("restart")]
    Restart,
    /// The weight store is limited to a quarter of its rate.
    #[display("slow-store")]
    SlowStore,
    /// The most popular adapters get a new version.
    #[display("rollout")]
    Rollout,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Shift,
        Self::OneAccount,
        Self::Everybody,
        Self::Restart,
        Self::SlowStore,
        Self::Rollout,
    ];

    /// Whether the disturbance is active.
    pub fn is_disturbed(
        self,
        now: Millis,
    ) -> bool {
        (DISTURBANCE_START..DISTURBANCE_END).contains(&now)
    }

    /// Rate limit of the weight store, in loads per second.
    pub fn store_rate(
        self,
        now: Millis,
    ) -> f64 {
        match self {
            Self::SlowStore if self.is_disturbed(now) => 0.5,
            _ => 2.0,
        }
    }

    /// Whether this engine restarts at `now`.
    pub fn is_restart_due(
        self,
        engine: usize,
        now: Millis,
    ) -> bool {
        self == Self::Restart && engine == 0 && now == DISTURBANCE_START
    }

    fn rate_factor(
        self,
        account: usize,
        now: Millis,
    ) -> f64 {
        match self {
            Self::OneAccount if self.is_disturbed(now) && account == 1 => 5.0,
            Self::Everybody if self.is_disturbed(now) => 2.0,
            _ => 1.0,
        }
    }

    fn adapter_version(
        self,
        rank: u32,
        now: Millis,
    ) -> u32 {
        match self {
            Self::Rollout if now >= DISTURBANCE_START && rank < 8 => 2,
            _ => 1,
        }
    }
}

/// A request sent by a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Arrival time.
    pub at: Millis,
    /// VM that the load balancer picks.
    pub vm: usize,
    /// Client account that sends it.
    pub account: AccountId,
    /// Requested adapter version.
    pub adapter: AdapterVersion,
    /// Answer length in tokens.
    pub tokens: u32,
    /// Identifies the caller across retries.
    pub caller_tag: u64,
    /// Whether this is a retry after a refusal.
    pub is_retry: bool,
}

/// The generated requests of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Requests ordered by arrival time.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates the requests of a scenario.
    pub fn generate(
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut first = 0;
        for (account, share) in ADAPTER_SHARES_PER_MILLE.iter().enumerate() {
            let count = ADAPTERS * share / 1000;
            let ranks = cumulative_weights(count);
            let mut at = 0.0;
            loop {
                let rate =
                    ACCOUNT_RATES[account] * scenario.rate_factor(account, Millis(at as u64));
                at += -rng.random::<f64>().max(1e-12).ln() / rate * 1000.0;
                let now = Millis(at as u64);
                if now >= ARRIVAL_DURATION {
                    break;
                }
                let sample = rng.random::<f64>() * ranks.last().copied().unwrap_or(1.0);
                let rank = ranks.partition_point(|&sum| sum < sample) as u32;
                let is_shifted = scenario == Scenario::Shift && now >= DISTURBANCE_START;
                let place = if is_shifted {
                    (rank + count / 2) % count
                } else {
                    rank
                };
                let adapter = AdapterId(first + place);
                let version = scenario.adapter_version(rank, now);
                arrivals.push(Arrival {
                    at: now,
                    vm: pick_vm(&mut rng, account),
                    account: AccountId(account as u32),
                    adapter: AdapterVersion { adapter, version },
                    tokens: rng.random_range(20..100),
                    caller_tag: arrivals.len() as u64,
                    is_retry: false,
                });
            }
            first += count;
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }

    /// Hit rate of the best static placement.
    ///
    /// This is the share of requests whose adapter is among the `slots` most used ones of the run.
    pub fn best_static_hit_rate(
        &self,
        slots: usize,
    ) -> f64 {
        let mut counts = std::collections::BTreeMap::new();
        for arrival in &self.arrivals {
            *counts.entry(arrival.adapter).or_insert(0_usize) += 1;
        }
        let mut counts: Vec<usize> = counts.into_values().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let found: usize = counts.iter().take(slots).sum();
        found as f64 / self.arrivals.len().max(1) as f64
    }
}

/// Picks a VM; persistent connections keep most callers of an account on two VMs.
fn pick_vm(
    rng: &mut ChaCha8Rng,
    account: usize,
) -> usize {
    let near = rng.random_range(0..10) < 7;
    if near {
        (account * 3 + rng.random_range(0..2)) % VMS
    } else {
        rng.random_range(0..VMS)
    }
}

fn cumulative_weights(count: u32) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += f64::from(rank).powf(-ZIPF_EXPONENT);
            sum
        })
        .collect()
}
