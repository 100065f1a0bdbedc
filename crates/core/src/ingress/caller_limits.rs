use crate::clock::Millis;

/// Size limits and timeouts of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub header_timeout: Millis,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// The limits without a configuration.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
