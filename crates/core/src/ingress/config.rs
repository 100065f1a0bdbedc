use {
    super::{AccountSpec, CallerLimits, RouteTable, ServiceSpec},
    crate::ids::Revision,
    std::collections::HashMap,
};

/// The complete configuration of an entry VM.
#[derive(Clone, Debug, Default)]
pub struct IngressConfig {
    /// Its version; a configuration replaces only one with a lower version.
    pub version: Revision,
    /// The routes.
    pub routes: RouteTable,
    /// The services, by name.
    pub services: HashMap<String, ServiceSpec>,
    /// The client accounts; empty if requests need no API key.
    pub accounts: Vec<AccountSpec>,
    /// The account of each API key, as an index into `accounts`.
    pub keys: HashMap<String, usize>,
    /// Limits of callers' requests and connections.
    pub limits: CallerLimits,
}

impl IngressConfig {
    /// The account of an API key.
    pub fn account_of(
        &self,
        key: &str,
    ) -> Option<&AccountSpec> {
        self.keys.get(key).map(|&at| &self.accounts[at])
    }

    /// Whether requests to routes that are not public need an API key.
    pub const fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }
}
