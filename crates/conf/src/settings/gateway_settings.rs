use {
    super::{Advertise, Checked, GatewayListen, Limits, LogSettings, Problem, Stop, range::within},
    jasmine_core::{clock::Millis, ids::VmId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How old a configuration may be when the file doesn't say.
const DEFAULT_CONFIG_STALE: Millis = Millis(10_000);

/// The settings file of `jasmine-gateway`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The VM's number, unique over the fleet.
    pub vm: VmId,
    /// The name of the data centre it stands in.
    pub data_centre: String,
    /// Where it listens.
    pub listen: GatewayListen,
    /// Addresses that others use.
    #[serde(default)]
    pub advertise: Advertise,
    /// The peers' port of the controller on the same VM.
    pub controller: SocketAddr,
    /// Bounds on what callers can make it hold.
    #[serde(default)]
    pub limits: Limits,
    /// How long it goes on checking keys after the last word from the platform or a peer.
    #[serde(default = "default_config_stale")]
    pub config_stale_ms: Millis,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: Stop,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_config_stale() -> Millis {
    DEFAULT_CONFIG_STALE
}

impl Checked for GatewaySettings {
    fn check(&self) -> Result<(), Problem> {
        within(
            "config_stale_ms",
            self.config_stale_ms.0,
            &(1_000..=3_600_000),
        )?;
        self.limits.check()?;
        self.stop.check()
    }
}
