use {
    super::{
        Advertise, ControllerListen, InvalidSetting, LogSettings, OperatorsSettings,
        PlatformSettings, StopSettings, Validate, range::check_range,
    },
    jasmine_core::{clock::Millis, ids::VmId},
    serde::{Deserialize, Serialize},
};

/// The default of `lease_ms`.
const DEFAULT_LEASE_DURATION: Millis = Millis(5_000);

/// The settings file of `jasmine-controller`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// The id of the VM, unique over the fleet.
    pub vm: VmId,
    /// The name of the data centre that the VM is in.
    pub data_centre: String,
    /// The addresses that it listens on.
    pub listen: ControllerListen,
    /// The addresses announced to other daemons.
    #[serde(default)]
    pub advertise: Advertise,
    /// The platform services.
    pub platform: PlatformSettings,
    /// The authentication of operators.
    pub operators: OperatorsSettings,
    /// The TTL of its leases in the store.
    #[serde(default = "default_lease")]
    pub lease_ms: Millis,
    /// The graceful shutdown.
    #[serde(default)]
    pub stop: StopSettings,
    /// The logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_lease() -> Millis {
    DEFAULT_LEASE_DURATION
}

impl Validate for ControllerSettings {
    fn validate(&self) -> Result<(), InvalidSetting> {
        check_range("lease_ms", self.lease_ms.0, &(1_000..=600_000))?;
        self.platform.validate()?;
        self.operators.validate()?;
        self.stop.validate()
    }
}
