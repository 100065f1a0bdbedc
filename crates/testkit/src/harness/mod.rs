//! Runs the daemons as processes against stand-ins, with fault-injecting proxies between them.

mod binaries;
mod cluster;
mod cluster_spec;
mod daemon;
mod initial_edit;
mod poll;
mod served;
mod upstreams;
mod vm;

pub use {
    binaries::binaries_dir,
    cluster::{Cluster, OPERATOR_TOKEN},
    cluster_spec::{AccountSpec, ClusterSpec},
    daemon::Daemon,
    poll::{HarnessError, poll},
    served::wait_until_served,
    upstreams::{UpstreamStandIn, Upstreams},
    vm::Vm,
};
