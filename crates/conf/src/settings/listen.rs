use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Listen addresses of a gateway; port 0 selects a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// The HTTP API for callers.
    pub callers: SocketAddr,
    /// Connections from other daemons.
    pub peers: SocketAddr,
    /// Health, readiness and metrics endpoints.
    pub status: SocketAddr,
}

/// Listen addresses of a controller; port 0 selects a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerListen {
    /// The HTTP API for operators.
    pub operators: SocketAddr,
    /// Connections from other daemons.
    pub peers: SocketAddr,
    /// Health, readiness and metrics endpoints.
    pub status: SocketAddr,
}

/// Addresses announced to other daemons, if they differ from the listen addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Advertise {
    /// The address that other daemons connect to; the listen address if unset.
    pub peers: Option<SocketAddr>,
}

/// Listen addresses of an entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// The HTTP API for callers.
    pub callers: SocketAddr,
    /// The readiness endpoint for the load balancer.
    pub readiness: SocketAddr,
    /// Connections from other daemons.
    pub peers: SocketAddr,
    /// Requests of other VMs that have lost their links to the upstreams; a free port of `peers` if unset.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// The metrics endpoint.
    pub metrics: SocketAddr,
}
