use {super::CallKind, crate::clock::Millis};

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight relative to the sum of the route's weights.
    pub weight: u64,
}

/// A route for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IngressRoute {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests can be repeated or resumed.
    pub kind: CallKind,
    /// Maximum time that a caller waits.
    pub timeout: Millis,
    /// Latency objective for a response or the first event of a stream.
    pub objective: Millis,
    /// Objective for the pause between two events of a stream.
    pub gap_objective: Option<Millis>,
    /// Its priority, 0 is highest.
    pub priority: u8,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Regions whose upstreams may serve its requests; empty if all may.
    pub allowed_regions: Vec<String>,
    /// The services that share its requests.
    pub services: Vec<WeightedService>,
}

impl IngressRoute {
    /// The service for a request, chosen by its hash according to the weights.
    pub fn service_for(
        &self,
        hash: u64,
    ) -> Option<&str> {
        let total: u64 = self.services.iter().map(|part| part.weight).sum();
        let mut at = hash.checked_rem(total)?;
        for part in &self.services {
            match at.checked_sub(part.weight) {
                None => return Some(&part.service),
                Some(rest) => at = rest,
            }
        }
        None
    }
}
