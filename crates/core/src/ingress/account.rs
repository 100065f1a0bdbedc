use crate::rights::Limit;

/// The unit of a client account's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUnit {
    /// Tokens, as declared by the caller.
    Tokens {
        /// Tokens charged for a request that declares none.
        default_tokens: u64,
    },
    /// Requests.
    Requests,
}

/// Configuration of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Its name, which is passed to upstreams.
    pub name: String,
    /// Its priority, 0 is highest; overrides that of the route.
    pub priority: Option<u8>,
    /// Its limit over the whole fleet; `None` if it is not limited.
    pub limit: Option<Limit>,
    /// The unit of the limit.
    pub unit: RateUnit,
    /// Regions whose upstreams may serve its requests; empty if all may.
    pub allowed_regions: Vec<String>,
}

impl AccountSpec {
    /// The cost of a request, in `unit`; `stated` is the number of tokens that its caller declares.
    pub fn cost(
        &self,
        stated: Option<u64>,
    ) -> u64 {
        match self.unit {
            RateUnit::Tokens { default_tokens } => stated.unwrap_or(default_tokens),
            RateUnit::Requests => 1,
        }
    }
}
