use {
    super::{
        Advertise, GatewayListen, InvalidSetting, Limits, LogSettings, StopSettings, Validate,
        range::check_range,
    },
    jasmine_core::{clock::Millis, ids::VmId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The default of `config_stale_ms`.
const DEFAULT_CONFIG_STALE_TIMEOUT: Millis = Millis(10_000);

/// The settings file of `jasmine-gateway`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The id of the VM, unique over the fleet.
    pub vm: VmId,
    /// The name of the data centre that the VM is in.
    pub data_centre: String,
    /// The addresses that it listens on.
    pub listen: GatewayListen,
    /// The addresses announced to other daemons.
    #[serde(default)]
    pub advertise: Advertise,
    /// The peer address of the controller on the same VM.
    pub controller: SocketAddr,
    /// Limits on the resources that callers can use.
    #[serde(default)]
    pub limits: Limits,
    /// How long it accepts keys without contact to the platform or a peer.
    #[serde(default = "default_config_stale")]
    pub config_stale_ms: Millis,
    /// The graceful shutdown.
    #[serde(default)]
    pub stop: StopSettings,
    /// The logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_config_stale() -> Millis {
    DEFAULT_CONFIG_STALE_TIMEOUT
}

impl Validate for GatewaySettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        check_range(
            "config_stale_ms",
            self.config_stale_ms.0,
            &(1_000..=3_600_000),
        )?;
        self.limits.validate()?;
        self.stop.validate()
    }
}
