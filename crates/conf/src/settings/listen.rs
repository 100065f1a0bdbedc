use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Where a gateway listens; port 0 takes a free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Health, readiness and metrics.
    pub status: SocketAddr,
}

/// Where a controller listens; port 0 takes a free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerListen {
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Health, readiness and metrics.
    pub status: SocketAddr,
}

/// Addresses that others use, where they differ from the bound ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Advertise {
    /// The address that other daemons connect to; the bound one when absent.
    pub peers: Option<SocketAddr>,
}

/// Where an entry daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Readiness, for the balancer.
    pub readiness: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}
