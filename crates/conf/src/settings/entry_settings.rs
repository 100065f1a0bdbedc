use {
    super::{
        ByteSettings, ColdUpstreamSettings, EntryListen, InvalidSetting, LogSettings,
        RetryBudgetSettings, Validate, VmResources, range::check_range,
    },
    jasmine_core::{
        clock::Millis,
        scheduler::{EvacuationTimes, HardLoadSettings},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

/// The default of `least_lease_ms`.
const DEFAULT_MIN_LEASE_DURATION: Millis = Millis(1_000);
/// The default of `change_ms`.
const DEFAULT_CHANGE_TIMEOUT: Millis = Millis(2_000);
/// The default of `evacuation_ms`.
const DEFAULT_EVACUATION_TIMEOUT: Millis = Millis(5_000);
/// Part of `evacuation_ms` for requests that are on their way to an upstream.
const DISPATCH_MARGIN: Millis = Millis(500);
/// The default of `version_ms`.
const DEFAULT_VERSION_TIMEOUT: Millis = Millis(5_000);
/// Part of `version_ms` for what is on its way: the store's answer, a request that is withdrawn from an engine, and the
/// first token.
const VERSION_MARGIN: Millis = Millis(400);
/// The default of `stop_s`, in seconds.
const DEFAULT_STOP_SECS: u64 = 8;

/// The settings file of `jasmine-entry`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of the VM, unique over the fleet.
    pub vm: String,
    /// The name of the data centre that the VM is in.
    pub data_centre: String,
    /// The addresses that it listens on.
    pub listen: EntryListen,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The local address of connections to upstreams; the system chooses one if unset.
    #[serde(default)]
    pub upstream_source: Option<Ipv4Addr>,
    /// The minimum lease TTL that the key-value service grants.
    #[serde(default = "default_least_lease")]
    pub least_lease_ms: Millis,
    /// Whether the whole deployment starts for the first time, so that no rate has been used yet.
    #[serde(default)]
    pub first_start: bool,
    /// Whether engines reject orders with an outdated fencing token.
    #[serde(default)]
    pub engines_check_fences: bool,
    /// The minimum time between orders of two schedulers if engines do not check fencing tokens.
    #[serde(default)]
    pub order_gap_ms: Option<Millis>,
    /// The maximum time until a change in the store is in force.
    #[serde(default = "default_change")]
    pub change_ms: Millis,
    /// The maximum time until upstreams of an evacuated data centre get no more requests.
    #[serde(default = "default_evacuation")]
    pub evacuation_ms: Millis,
    /// The maximum time from the announcement of an adapter version to the last first token by an older one.
    #[serde(default = "default_version")]
    pub version_ms: Millis,
    /// The region of each data centre.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The allowance of cold upstreams beyond the rate that their service states.
    #[serde(default)]
    pub cold_upstreams: ColdUpstreamSettings,
    /// The resources of the VM.
    #[serde(default)]
    pub size: VmResources,
    /// The budgets for bytes that the VM and upstreams hold.
    #[serde(default)]
    pub bytes: ByteSettings,
    /// The retry budget of each service.
    #[serde(default)]
    pub repeats: RetryBudgetSettings,
    /// The parts that answer hard load.
    #[serde(default)]
    pub hard_load: HardLoadSettings,
    /// Names of the platform's terms in force, as the platform writes them.
    #[serde(default)]
    pub terms: Vec<String>,
    /// The maximum duration of a graceful shutdown, in seconds.
    #[serde(default = "default_stop")]
    pub stop_s: u64,
    /// The logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_least_lease() -> Millis {
    DEFAULT_MIN_LEASE_DURATION
}

const fn default_change() -> Millis {
    DEFAULT_CHANGE_TIMEOUT
}

const fn default_evacuation() -> Millis {
    DEFAULT_EVACUATION_TIMEOUT
}

const fn default_version() -> Millis {
    DEFAULT_VERSION_TIMEOUT
}

const fn default_stop() -> u64 {
    DEFAULT_STOP_SECS
}

impl EntrySettings {
    /// How long a new scheduler waits before sending orders; zero if engines check fencing tokens.
    pub fn order_gap(&self) -> Millis {
        let gap = self.order_gap_ms.filter(|_| !self.engines_check_fences);
        gap.unwrap_or(Millis::ZERO)
    }

    /// When evacuations take effect.
    ///
    /// Leaves time for the change to arrive, and for requests on their way to an upstream.
    pub fn evacuation_times(&self) -> EvacuationTimes {
        let latest_effect = self.evacuation_ms.since(DISPATCH_MARGIN);
        EvacuationTimes {
            moving: latest_effect.since(self.change_ms),
            latest_effect,
        }
    }

    /// How long after an adapter version was known to be absent requests may begin on an older one.
    pub fn older_version_time(&self) -> Millis {
        self.version_ms.since(VERSION_MARGIN)
    }
}

impl Validate for EntrySettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        check_range("least_lease_ms", self.least_lease_ms.0, &(100..=600_000))?;
        check_range("change_ms", self.change_ms.0, &(500..=600_000))?;
        check_range("evacuation_ms", self.evacuation_ms.0, &(500..=600_000))?;
        check_range("version_ms", self.version_ms.0, &(500..=600_000))?;
        self.cold_upstreams.validate()?;
        check_range("stop_s", self.stop_s, &(1..=3_600))?;
        self.size.validate()?;
        self.bytes.validate()?;
        self.repeats.validate()
    }
}
