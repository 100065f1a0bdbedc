use super::MILLITOKENS_PER_TOKEN;

/// Fleet-wide rate limit of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
}

impl Limit {
    /// The rate in millitokens per second.
    pub const fn rate_millitokens(self) -> u64 {
        self.rate.saturating_mul(MILLITOKENS_PER_TOKEN)
    }

    /// The burst in millitokens.
    pub const fn burst_millitokens(self) -> u64 {
        self.burst.saturating_mul(MILLITOKENS_PER_TOKEN)
    }
}
