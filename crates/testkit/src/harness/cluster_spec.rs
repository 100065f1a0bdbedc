use {
    crate::{engine::EngineSettings, weights::WeightSettings},
    jasmine_core::clock::Millis,
};

/// Client accounts of the demo: name, tokens a second, tokens at once.
const DEMO_ACCOUNTS: [(&str, u64, u64); 5] = [
    ("courier", 2000, 20_000),
    ("clinic", 1000, 10_000),
    ("coffee", 500, 5000),
    ("bakery", 500, 5000),
    ("school", 200, 4000),
];

/// A client account to begin with.
#[derive(Clone, Debug)]
pub struct AccountSpec {
    /// Its name.
    pub name: String,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

impl AccountSpec {
    /// An account of this name, rate and burst.
    pub fn new(
        name: &str,
        rate: u64,
        burst: u64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            rate,
            burst,
        }
    }
}

/// What to bring up.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// VMs, each with a gateway and a controller; numbered from 1.
    pub vms: u32,
    /// Data centres, over which VMs and upstreams are spread in turn.
    pub data_centres: u32,
    /// Engines; every third ignores fencing tokens.
    pub engines: u32,
    /// How each engine behaves.
    pub engine: EngineSettings,
    /// How the weight store behaves.
    pub weights: WeightSettings,
    /// Servers of the plain service `phones`.
    pub servers: u32,
    /// Adapters `notes-1` and on, each with versions 1 (live) and 2.
    pub adapters: u32,
    /// Client accounts, each with one key.
    pub accounts: Vec<AccountSpec>,
    /// Whether a proxy stands before each upstream.
    pub proxied_upstreams: bool,
    /// How long a controller's leases last.
    pub lease: Millis,
    /// How old a gateway's configuration may become.
    pub config_stale: Millis,
    /// Whether the gateways run before there is a configuration.
    pub gateways_first: bool,
}

impl ClusterSpec {
    /// Three VMs in three data centres with nine engines, three servers and five client accounts of
    /// unlike size, at the speeds of real engines and of the real weight store.
    pub fn demo() -> Self {
        let accounts = DEMO_ACCOUNTS.into_iter();
        Self {
            vms: 3,
            engines: 9,
            engine: EngineSettings::default(),
            weights: WeightSettings::default(),
            servers: 3,
            adapters: 24,
            accounts: accounts
                .map(|(name, rate, burst)| AccountSpec::new(name, rate, burst))
                .collect(),
            lease: Millis(5000),
            ..Self::default()
        }
    }
}

impl Default for ClusterSpec {
    fn default() -> Self {
        let engine = EngineSettings {
            step_us: 5000,
            ..EngineSettings::default()
        };
        let weights = WeightSettings {
            every_ms: 50,
            load_ms: 50,
            ..WeightSettings::default()
        };
        Self {
            vms: 2,
            data_centres: 3,
            engines: 3,
            engine,
            weights,
            servers: 1,
            adapters: 6,
            accounts: vec![
                AccountSpec::new("courier", 20_000, 40_000),
                AccountSpec::new("clinic", 20_000, 40_000),
            ],
            proxied_upstreams: false,
            lease: Millis(2000),
            config_stale: Millis(10_000),
            gateways_first: false,
        }
    }
}
