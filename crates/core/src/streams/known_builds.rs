use crate::clock::Millis;

/// What a VM knows of the builds of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownBuilds {
    /// The only build of which the service has had upstreams lately; `None` if there were several, or none.
    pub only: Option<String>,
    /// How long the VM has known all upstreams; `None` while it doesn't.
    pub complete_for: Option<Millis>,
    /// Whether the store has answered since the question came that the VM knows all upstreams.
    ///
    /// A VM that was suspended or cut off doesn't notice at once that its view is old.
    pub is_confirmed: bool,
}

impl KnownBuilds {
    /// What this VM and others know together, if the store hasn't confirmed this VM's view; `asked` were asked.
    ///
    /// A confirmed view of another VM counts. If the store answers nobody, nothing can have joined since, and what all
    /// know counts if at least half of the VMs asked know all upstreams. A single VM that knows more is believed.
    pub fn with_others(
        self,
        asked: usize,
        others: &[Self],
    ) -> Self {
        let knows_all = |other: &&Self| other.complete_for.is_some();
        let informed: Vec<&Self> = others.iter().filter(knows_all).collect();
        let (confirmed, unconfirmed): (Vec<&Self>, Vec<&Self>) =
            informed.iter().partition(|other| other.is_confirmed);
        let is_outage = confirmed.is_empty();
        let is_shared = !informed.is_empty() && informed.len() * 2 >= asked;
        let trusted = if is_outage { unconfirmed } else { confirmed };
        let has_one = informed.iter().all(|other| other.only == self.only);
        Self {
            only: self.only.filter(|_| has_one),
            complete_for: trusted.iter().filter_map(|other| other.complete_for).max(),
            is_confirmed: !is_outage || is_shared,
        }
    }
}
