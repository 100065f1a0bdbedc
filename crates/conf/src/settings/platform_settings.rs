use {
    super::{
        InvalidSetting,
        range::{check_base_url, check_range},
    },
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// The default of `timeout_ms`.
const DEFAULT_TIMEOUT: Millis = Millis(2_000);

/// Endpoints of the platform services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URLs of the key-value service, tried in order.
    pub kv: Vec<String>,
    /// Base URL of the VM list service.
    pub vms: String,
    /// Timeout of one call.
    #[serde(default = "default_timeout")]
    pub timeout_ms: Millis,
}

const fn default_timeout() -> Millis {
    DEFAULT_TIMEOUT
}

impl PlatformSettings {
    /// Checks that all values are in range and all URLs are valid.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        if self.kv.is_empty() {
            return Err(InvalidSetting {
                key: "platform.kv".to_owned(),
                value: "[]".to_owned(),
                allowed: "one address or more".to_owned(),
            });
        }
        for (i, url) in self.kv.iter().enumerate() {
            check_base_url(&format!("platform.kv[{i}]"), url)?;
        }
        check_base_url("platform.vms", &self.vms)?;
        check_range("platform.timeout_ms", self.timeout_ms.0, &(10..=60_000))
    }
}
