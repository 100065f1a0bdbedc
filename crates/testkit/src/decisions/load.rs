use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterId, AdapterVersion},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
};

/// Adapters of the fleet.
pub const ADAPTERS: u32 = 3000;
/// How sharply the popularity of an account's adapters falls.
const ZIPF: f64 = 1.6;
/// Requests a second of each account when all is quiet.
pub const RATES: [f64; 5] = [3.4, 2.2, 1.4, 0.7, 0.3];
/// Adapters of each account, in thousandths.
const SHARES: [u32; 5] = [400, 250, 200, 100, 50];
/// How long the callers send, and when the disturbance begins and ends.
pub const LENGTH: Millis = Millis::from_secs(200);
const FROM: Millis = Millis::from_secs(80);
const UNTIL: Millis = Millis::from_secs(140);
/// What arrives before this time finds a cold fleet and is not measured.
pub const WARM: Millis = Millis::from_secs(40);
/// VMs of the serving layer.
pub const VMS: usize = 7;

/// What happens in the middle third of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing.
    #[display("steady")]
    Steady,
    /// Other adapters become popular, without warning.
    #[display("shift")]
    Shift,
    /// One account sends five times its rate.
    #[display("one-account")]
    OneAccount,
    /// Everybody sends twice as much.
    #[display("everybody")]
    Everybody,
    /// An engine restarts and is cold.
    #[display("restart")]
    Restart,
    /// The weight store gives a quarter of its rate.
    #[display("slow-store")]
    SlowStore,
    /// The most used adapters get a new version.
    #[display("rollout")]
    Rollout,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Shift,
        Self::OneAccount,
        Self::Everybody,
        Self::Restart,
        Self::SlowStore,
        Self::Rollout,
    ];

    /// Whether the disturbance is on.
    pub fn is_on(
        self,
        now: Millis,
    ) -> bool {
        (FROM..UNTIL).contains(&now)
    }

    /// Loads a second that the weight store allows.
    pub fn store_rate(
        self,
        now: Millis,
    ) -> f64 {
        match self {
            Self::SlowStore if self.is_on(now) => 0.5,
            _ => 2.0,
        }
    }

    /// Whether the engine with that number restarts in the step that ends at `now`.
    pub fn restarts(
        self,
        engine: usize,
        now: Millis,
    ) -> bool {
        self == Self::Restart && engine == 0 && now == FROM
    }

    fn factor(
        self,
        account: usize,
        now: Millis,
    ) -> f64 {
        match self {
            Self::OneAccount if self.is_on(now) && account == 1 => 5.0,
            Self::Everybody if self.is_on(now) => 2.0,
            _ => 1.0,
        }
    }

    fn version(
        self,
        rank: u32,
        now: Millis,
    ) -> u32 {
        match self {
            Self::Rollout if now >= FROM && rank < 8 => 2,
            _ => 1,
        }
    }
}

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When.
    pub at: Millis,
    /// To which VM the balancer gives it.
    pub vm: usize,
    /// For which account.
    pub account: AccountId,
    /// What it asks for.
    pub adapter: AdapterVersion,
    /// Tokens of its answer.
    pub tokens: u32,
    /// What makes its caller known when it comes back.
    pub tag: u64,
    /// Whether its caller was told to come back and has.
    pub returned: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// In the order of their times.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Draws the requests of a scenario.
    pub fn draw(
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut first = 0;
        for (account, share) in SHARES.iter().enumerate() {
            let count = ADAPTERS * share / 1000;
            let ranks = cumulated(count);
            let mut at = 0.0;
            loop {
                let rate = RATES[account] * scenario.factor(account, Millis(at as u64));
                at += -rng.random::<f64>().max(1e-12).ln() / rate * 1000.0;
                let now = Millis(at as u64);
                if now >= LENGTH {
                    break;
                }
                let draw = rng.random::<f64>() * ranks.last().copied().unwrap_or(1.0);
                let rank = ranks.partition_point(|&sum| sum < draw) as u32;
                let moved = scenario == Scenario::Shift && now >= FROM;
                let place = if moved {
                    (rank + count / 2) % count
                } else {
                    rank
                };
                let adapter = AdapterId(first + place);
                let version = scenario.version(rank, now);
                arrivals.push(Arrival {
                    at: now,
                    vm: vm(&mut rng, account),
                    account: AccountId(account as u32),
                    adapter: AdapterVersion { adapter, version },
                    tokens: rng.random_range(20..100),
                    tag: arrivals.len() as u64,
                    returned: false,
                });
            }
            first += count;
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }

    /// The share of requests whose adapter is among the `slots` most used ones of the run: what a
    /// fixed choice made by somebody who knows all requests beforehand would find loaded.
    pub fn best_fixed_share(
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

/// Most callers of an account come through two VMs: their connections stay where they are.
fn vm(
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

fn cumulated(count: u32) -> Vec<f64> {
    let mut sum = 0.0;
    (1..=count)
        .map(|rank| {
            sum += f64::from(rank).powf(-ZIPF);
            sum
        })
        .collect()
}
