use {super::IngressRoute, std::collections::HashMap, std::sync::Arc};

/// Looks up routes by host and longest path prefix.
///
/// Prefixes end with a slash, so a lookup takes at most one hash lookup per slash in the path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, HashMap<String, Arc<IngressRoute>>>,
}

impl RouteTable {
    /// Creates a table of `routes`; of two with the same host and prefix the later one is kept.
    pub fn new(routes: impl IntoIterator<Item = IngressRoute>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let host = table.hosts.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        table
    }

    /// Finds the route of a request by its `Host` header and its target.
    pub fn find(
        &self,
        host: &str,
        target: &str,
    ) -> Option<&Arc<IngressRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let path = target.split(['?', '#']).next().unwrap_or(target);
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<IngressRoute>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
