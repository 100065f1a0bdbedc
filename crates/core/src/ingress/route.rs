use {super::CallKind, crate::clock::Millis};

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its part, against the sum of the route's weights.
    pub weight: u64,
}

/// Where requests of one host and path go, and what may be done with them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IngressRoute {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host that it belongs to, in lower case and without a port.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// Within this an answer, or the first event of a stream, is on time.
    pub objective: Millis,
    /// The longest pause between two events of a stream that is on time.
    pub gap_objective: Option<Millis>,
    /// Its rank, 0 first.
    pub priority: u8,
    /// Upstreams that one request may be sent to at most.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The services that share its requests.
    pub services: Vec<WeightedService>,
}

impl IngressRoute {
    /// The service for the request whose hash is `hash`: the same one each time it is asked.
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
