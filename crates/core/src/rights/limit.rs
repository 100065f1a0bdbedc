use super::MILLI;

/// What an account may use over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once after a rest.
    pub burst: u64,
}

impl Limit {
    /// The rate in thousandths of a token a second.
    pub const fn rate_milli(self) -> u64 {
        self.rate.saturating_mul(MILLI)
    }

    /// The burst in thousandths of a token.
    pub const fn burst_milli(self) -> u64 {
        self.burst.saturating_mul(MILLI)
    }
}
