use crate::clock::Millis;

/// How a holder shares its rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RightsSettings {
    /// Whether rights move between holders at all.
    pub sharing: bool,
    /// Peers asked at a time for one account.
    pub fan_out: usize,
    /// For how long ahead a giver keeps the tokens that its own demand needs.
    pub keep: Millis,
    /// For how long a peer that had nothing to spare is not asked again.
    pub back_off: Millis,
    /// How often that time doubles while the peer keeps having nothing.
    pub max_doublings: u32,
    /// Empty rounds of asking after which an account is left alone for a while.
    pub rounds: usize,
    /// How long an answer is worth waiting for before a request is refused.
    pub answer_wait: Millis,
    /// For how long ahead a holder that runs low asks.
    pub ahead: Millis,
    /// After how long without an answer a request for rights is sent again.
    pub resend: Millis,
    /// A holder keeps its even part of the rate divided by this, whoever asks.
    pub floor_divisor: u64,
    /// How long the tokens of a promised refusal wait for their caller after the promised time.
    pub grace: Millis,
    /// How far ahead a refusal is promised; rights move, so what lies further ahead can't be.
    pub horizon: Millis,
    /// Promised refusals kept for one account.
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
