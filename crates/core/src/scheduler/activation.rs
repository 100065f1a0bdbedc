use serde::{Deserialize, Serialize};

/// When a part of the scheduler takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Activation {
    /// Never.
    Off,
    /// For services whose upstreams report their pace, and for all where callers contend for capacity.
    #[default]
    Auto,
    /// For all services.
    On,
}
