/// A build of a service: what all upstreams that write one stream have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceBuild {
    /// Name of the service.
    pub service: String,
    /// Version of the upstreams' software; services may use the same names. `None` if the upstream may have restarted as
    /// another build.
    pub build: Option<String>,
}
