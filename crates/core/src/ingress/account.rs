use crate::rights::Limit;

/// What a client account's rate and burst are counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUnit {
    /// Tokens as the caller states them; a request that states none counts as `unstated`.
    Tokens {
        /// Tokens of a request that doesn't say how many it has.
        unstated: u64,
    },
    /// Each request counts as one.
    Requests,
}

/// A client account as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Its name, which upstreams see.
    pub name: String,
    /// Its rank, 0 first; it goes before the route's.
    pub priority: Option<u8>,
    /// What it may use over the whole fleet; none where it is not limited.
    pub limit: Option<Limit>,
    /// What the limit is counted in.
    pub unit: RateUnit,
}

impl AccountSpec {
    /// What a request costs this account; `stated` are the tokens that its caller states.
    pub fn cost(
        &self,
        stated: Option<u64>,
    ) -> u64 {
        match self.unit {
            RateUnit::Tokens { unstated } => stated.unwrap_or(unstated),
            RateUnit::Requests => 1,
        }
    }
}
