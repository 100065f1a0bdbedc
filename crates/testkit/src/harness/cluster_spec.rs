use {
    crate::{engine::EngineSettings, weights::WeightSettings},
    jasmine_core::clock::Millis,
};

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
        }
    }
}
