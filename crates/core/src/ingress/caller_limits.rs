use crate::clock::Millis;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub header_timeout: Millis,
    /// How long a connection may stand idle between two requests.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// What holds until a configuration says otherwise.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
