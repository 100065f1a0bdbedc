use crate::clock::Millis;

/// Settings for the transfer of rights between holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RightsSettings {
    /// Whether holders transfer rights.
    pub sharing: bool,
    /// Maximum number of peers asked at a time for one account.
    pub fan_out: usize,
    /// Time of its own demand for which a giver keeps tokens.
    pub keep_window: Millis,
    /// Initial backoff for a peer without spare tokens.
    pub backoff: Millis,
    /// Maximum number of times that a backoff or resend interval doubles.
    pub max_backoff_doublings: u32,
    /// Empty rounds of requests after which an account backs off.
    pub max_empty_rounds: usize,
    /// How long admission waits for a response of a peer.
    pub response_timeout: Millis,
    /// Time of its own demand for which a holder prefetches tokens.
    pub prefetch_window: Millis,
    /// Initial interval between resends of an unanswered request.
    pub resend_interval: Millis,
    /// A giver keeps at least an even share of the rate divided by this.
    pub min_share_divisor: u64,
    /// How long tokens stay reserved after the retry time.
    pub reservation_grace: Millis,
    /// Maximum delay of a retry for which tokens are reserved.
    pub max_reservation_delay: Millis,
    /// Maximum number of reservations of one account.
    pub max_reservations: usize,
}

impl Default for RightsSettings {
    fn default() -> Self {
        Self {
            sharing: true,
            fan_out: 3,
            keep_window: Millis(100),
            backoff: Millis(50),
            max_backoff_doublings: 3,
            max_empty_rounds: 3,
            response_timeout: Millis(50),
            prefetch_window: Millis(1000),
            resend_interval: Millis(250),
            min_share_divisor: 32,
            reservation_grace: Millis(1500),
            max_reservation_delay: Millis::from_secs(10),
            max_reservations: 1024,
        }
    }
}
