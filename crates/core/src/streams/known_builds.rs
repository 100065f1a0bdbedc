use crate::clock::Millis;

/// What a VM knows of the builds of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownBuilds {
    /// The only build of which the service has had upstreams lately; `None` if there were several, or none.
    pub only: Option<String>,
    /// How long the VM has known all upstreams; `None` while it doesn't.
    pub complete_for: Option<Millis>,
}
