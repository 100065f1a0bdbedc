use {
    crate::{engine::EngineSettings, weights::WeightSettings},
    jasmine_core::clock::Millis,
};

/// Client accounts of the demo: name, rate in tokens per second, burst in tokens.
const DEMO_ACCOUNTS: [(&str, u64, u64); 5] = [
    ("courier", 2000, 20_000),
    ("clinic", 1000, 10_000),
    ("coffee", 500, 5000),
    ("bakery", 500, 5000),
    ("school", 200, 4000),
];

/// A client account in the initial configuration.
#[derive(Clone, Debug)]
pub struct AccountSpec {
    /// Account name.
    pub name: String,
    /// Rate limit in tokens per second.
    pub rate: u64,
    /// Burst size in tokens.
    pub burst: u64,
}

impl AccountSpec {
    /// Creates an account with a rate in tokens per second and a burst in tokens.
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

/// Configuration of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Number of VMs, each with a gateway and a controller; ids start at 1.
    pub vms: u32,
    /// Number of data centres; VMs and upstreams are assigned round-robin.
    pub data_centres: u32,
    /// Number of engines; every third ignores fencing tokens.
    pub engines: u32,
    /// Settings of each engine.
    pub engine: EngineSettings,
    /// Settings of the weight store.
    pub weights: WeightSettings,
    /// Number of servers of the service `phones`.
    pub servers: u32,
    /// Number of adapters, named `notes-1` and up, each with versions 1 (live) and 2.
    pub adapters: u32,
    /// Client accounts, each with one key.
    pub accounts: Vec<AccountSpec>,
    /// Whether upstreams are reached through a proxy.
    pub has_proxied_upstreams: bool,
    /// Lease duration of the controllers.
    pub lease: Millis,
    /// Maximum age of a gateway's configuration.
    pub max_config_age: Millis,
    /// Whether gateways start before the first configuration is applied.
    pub has_early_gateways: bool,
}

impl ClusterSpec {
    /// The cluster of the demo, with the speeds of real engines and a real weight store.
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
            has_proxied_upstreams: false,
            lease: Millis(2000),
            max_config_age: Millis(10_000),
            has_early_gateways: false,
        }
    }
}
