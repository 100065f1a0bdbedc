use serde::{Deserialize, Serialize};

/// What goes wrong at the platform from now on.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The key-value service answers 503 and ends its watches; leases don't run out meanwhile.
    pub outage: bool,
    /// Each call to the key-value service takes this much longer, milliseconds.
    pub delay_ms: u64,
    /// So many of the next writes take effect without an answer.
    pub lose_replies: u32,
    /// Watches stay open and tell nothing.
    pub stall_watches: bool,
    /// The VM list answers 503.
    pub vms_outage: bool,
}
