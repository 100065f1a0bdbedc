use {
    crate::harness::AccountSpec,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Mean cost of a generated request, in tokens.
const MEAN_COST_TOKENS: f64 = 62.0;

/// Zipf exponent of adapter popularity.
const POPULARITY_EXPONENT: f64 = 1.8;

/// Interval at which a changing load switches its VM or adapters, in milliseconds.
const SHIFT_INTERVAL_MS: u64 = 10_000;

/// Pattern of request arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum LoadPattern {
    /// Every account sends at 60 % of its rate, spread over the VMs.
    Steady,
    /// As `Steady`, but to a single VM that changes every ten seconds.
    Skew,
    /// As `Steady`, but the popular adapters change every ten seconds.
    Shift,
    /// The first account sends at three times its rate, the others at 60 %.
    Over,
    /// Every account sends its burst in 3 s of every 20 s, and at 20 % of its rate otherwise.
    Everybody,
}

/// One scheduled request.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at_ms: u64,
    pub(super) account: usize,
    pub(super) vm: u32,
    pub(super) adapter: u32,
    pub(super) number: u64,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 5] = [
        Self::Steady,
        Self::Skew,
        Self::Shift,
        Self::Over,
        Self::Everybody,
    ];

    /// Name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Skew => "skew",
            Self::Shift => "shift",
            Self::Over => "over",
            Self::Everybody => "everybody",
        }
    }

    /// Parses a name of the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|load| load.name() == name)
    }

    /// Generates the requests of a run; the same seed gives the same requests.
    pub(super) fn arrivals(
        self,
        accounts: &[AccountSpec],
        vms: u32,
        adapters: u32,
        run_ms: u64,
        seed: u64,
    ) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights = (1..=adapters).scan(0.0, |sum, n| {
            *sum += f64::from(n).powf(-POPULARITY_EXPONENT);
            Some(*sum)
        });
        let popularity: Vec<f64> = weights.collect();
        let total = popularity.last().copied().unwrap_or(1.0);
        let mut arrivals = Vec::new();
        for (account, spec) in accounts.iter().enumerate() {
            let mut at = 0.0;
            loop {
                let per_ms =
                    self.tokens_per_second(account, spec, at as u64) / MEAN_COST_TOKENS / 1000.0;
                at += -rng.random::<f64>().max(1e-12).ln() / per_ms;
                if at >= run_ms as f64 {
                    break;
                }
                let at_ms = at as u64;
                let sample = rng.random::<f64>() * total;
                let rank = popularity.partition_point(|sum| *sum < sample) as u32;
                arrivals.push(Arrival {
                    at_ms,
                    account,
                    vm: self.vm(at_ms, vms, &mut rng),
                    adapter: self.adapter(rank, at_ms, adapters),
                    number: rng.random(),
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    fn tokens_per_second(
        self,
        account: usize,
        spec: &AccountSpec,
        at_ms: u64,
    ) -> f64 {
        let rate = spec.rate as f64;
        match self {
            Self::Over if account == 0 => rate * 3.0,
            Self::Everybody if at_ms % (2 * SHIFT_INTERVAL_MS) < 3000 => spec.burst as f64 / 3.0,
            Self::Everybody => rate / 5.0,
            _ => rate * 0.6,
        }
    }

    fn vm(
        self,
        at_ms: u64,
        vms: u32,
        rng: &mut ChaCha8Rng,
    ) -> u32 {
        match self {
            Self::Skew => (at_ms / SHIFT_INTERVAL_MS) as u32 % vms + 1,
            _ => rng.random_range(1..=vms),
        }
    }

    fn adapter(
        self,
        rank: u32,
        at_ms: u64,
        adapters: u32,
    ) -> u32 {
        let offset = match self {
            Self::Shift => (at_ms / SHIFT_INTERVAL_MS) as u32 * (adapters / 3),
            _ => 0,
        };
        (rank.min(adapters - 1) + offset) % adapters + 1
    }
}
