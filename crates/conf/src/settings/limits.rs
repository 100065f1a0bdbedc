use {
    super::{InvalidSetting, range::check_range},
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// Limits on the gateway resources that callers can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum total size of the request headers, in bytes.
    pub max_header_bytes: u64,
    /// Timeout for receiving a request.
    pub request_read_ms: Millis,
    /// Maximum number of concurrent requests, including queued ones.
    pub max_in_flight: u64,
    /// Maximum number of open callers' connections.
    pub max_connections: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            request_read_ms: Millis(10_000),
            max_in_flight: 10_000,
            max_connections: 20_000,
        }
    }
}

impl Limits {
    /// Checks that all values are in range.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        let rows = [
            (
                "limits.max_body_bytes",
                self.max_body_bytes,
                1_024..=1 << 30,
            ),
            (
                "limits.max_header_bytes",
                self.max_header_bytes,
                1_024..=1 << 20,
            ),
            (
                "limits.request_read_ms",
                self.request_read_ms.0,
                100..=600_000,
            ),
            ("limits.max_in_flight", self.max_in_flight, 1..=1_000_000),
            (
                "limits.max_connections",
                self.max_connections,
                1..=1_000_000,
            ),
        ];
        rows.iter()
            .try_for_each(|(key, value, allowed)| check_range(key, *value, allowed))
    }
}
