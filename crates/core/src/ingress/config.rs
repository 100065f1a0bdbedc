use {
    super::{AccountSpec, CallerLimits, RouteTable, ServiceSpec},
    crate::ids::Revision,
    std::collections::HashMap,
};

/// One configuration, whole.
#[derive(Clone, Debug, Default)]
pub struct IngressConfig {
    /// Its version; a higher one replaces a lower one and never the other way round.
    pub version: Revision,
    /// Where requests go.
    pub routes: RouteTable,
    /// The services, by name.
    pub services: HashMap<String, ServiceSpec>,
    /// The client accounts; empty where requests need no key.
    pub accounts: Vec<AccountSpec>,
    /// The account of each key, as an index into the accounts.
    pub keys: HashMap<String, usize>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl IngressConfig {
    /// The account that holds `key`.
    pub fn account_of(
        &self,
        key: &str,
    ) -> Option<&AccountSpec> {
        self.keys.get(key).map(|&at| &self.accounts[at])
    }

    /// Whether a request needs a key unless its route is public.
    pub const fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }
}
