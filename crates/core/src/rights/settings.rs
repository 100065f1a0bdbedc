use crate::clock::Millis;

/// Settings for the transfer of rights between holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RightsSettings {
    /// Whether holders transfer rights.
    pub sharing: bool,
    /// Maximum number of peers asked at a time for one account.
    pub fan_out: usize,
    /// Time of its own demand for which a giver keeps tokens.
    pub keep: Millis,
    /// Initial backoff for a peer without spare tokens.
    pub back_off: Millis,
    /// Maximum number of times that a backoff or resend interval doubles.
    pub max_doublings: u32,
    /// Empty rounds of requests after which an account backs off.
    pub rounds: usize,
    /// How long admission waits for a response of a peer.
    pub answer_wait: Millis,
    /// Time of its own demand for which a holder prefetches tokens.
    pub ahead: Millis,
    /// Initial interval between resends of an unanswered request.
    pub resend: Millis,
    /// A giver keeps at least an even share of the rate divided by this.
    pub floor_divisor: u64,
    /// How long tokens stay reserved after the retry time.
    pub grace: Millis,
    /// Maximum delay of a retry for which tokens are reserved.
    pub horizon: Millis,
    /// Maximum number of reservations of one account.
    pub max_promises: usize,
}

impl Default for RightsSettings {
    fn default() -> Self {
        Self {
            sharing: true,
            fan_out: 3,
            keep: Millis(100),
            back_off: Millis(50),
            max_doublings: 3,
            rounds: 3,
            answer_wait: Millis(50),
            ahead: Millis(1000),
            resend: Millis(250),
            floor_divisor: 32,
            grace: Millis(1500),
            horizon: Millis::from_secs(10),
            max_promises: 1024,
        }
    }
}
