use {
    super::{Problem, range::within},
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// Bounds on what one caller, or all together, can make a gateway hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Bytes of a request's headers together.
    pub max_header_bytes: u64,
    /// How long a request may take to arrive.
    pub request_read_ms: Millis,
    /// Requests that the gateway works on at a time, waiting ones included.
    pub max_in_flight: u64,
    /// Open connections of callers.
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
    /// Refuses values out of range.
    pub(super) fn check(&self) -> Result<(), Problem> {
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
            .try_for_each(|(key, value, allowed)| within(key, *value, allowed))
    }
}
