use {
    super::{
        Advertise, Checked, ControllerListen, LogSettings, OperatorsSettings, PlatformSettings,
        Problem, Stop, range::within,
    },
    jasmine_core::{clock::Millis, ids::VmId},
    serde::{Deserialize, Serialize},
};

/// How long a lease in the store lasts when the file doesn't say.
const DEFAULT_LEASE: Millis = Millis(5_000);

/// The settings file of `jasmine-controller`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// The VM's number, unique over the fleet.
    pub vm: VmId,
    /// The name of the data centre it stands in.
    pub data_centre: String,
    /// Where it listens.
    pub listen: ControllerListen,
    /// Addresses that others use.
    #[serde(default)]
    pub advertise: Advertise,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Who may edit the tree.
    pub operators: OperatorsSettings,
    /// How long its leases in the store last without a renewal.
    #[serde(default = "default_lease")]
    pub lease_ms: Millis,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: Stop,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_lease() -> Millis {
    DEFAULT_LEASE
}

impl Checked for ControllerSettings {
    fn check(&self) -> Result<(), Problem> {
        within("lease_ms", self.lease_ms.0, &(1_000..=600_000))?;
        self.platform.check()?;
        self.operators.check()?;
        self.stop.check()
    }
}
