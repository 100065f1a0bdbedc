use {
    super::{
        Problem,
        range::{base_url, within},
    },
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// How long a call to the platform may take when the file doesn't say.
const DEFAULT_TIMEOUT: Millis = Millis(2_000);

/// Where the platform is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URLs of the key-value service, tried in turn.
    pub kv: Vec<String>,
    /// Base URL of the VM list.
    pub vms: String,
    /// How long one call may take.
    #[serde(default = "default_timeout")]
    pub timeout_ms: Millis,
}

const fn default_timeout() -> Millis {
    DEFAULT_TIMEOUT
}

impl PlatformSettings {
    /// Refuses values out of range and addresses that are none.
    pub(super) fn check(&self) -> Result<(), Problem> {
        if self.kv.is_empty() {
            return Err(Problem {
                key: "platform.kv".to_owned(),
                value: "[]".to_owned(),
                allowed: "one address or more".to_owned(),
            });
        }
        for (i, url) in self.kv.iter().enumerate() {
            base_url(&format!("platform.kv[{i}]"), url)?;
        }
        base_url("platform.vms", &self.vms)?;
        within("platform.timeout_ms", self.timeout_ms.0, &(10..=60_000))
    }
}
