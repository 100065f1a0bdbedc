use serde::{Deserialize, Serialize};

/// Faults injected into the platform.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The key-value service answers 503 and closes its watches; leases don't expire.
    pub outage: bool,
    /// Additional latency of key-value calls, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but get no response.
    pub lose_replies: u32,
    /// Watches stay open but deliver no events.
    pub stall_watches: bool,
    /// The VM list answers 503.
    pub vms_outage: bool,
}
