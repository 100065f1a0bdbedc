//! Adapter versions: no answer begins on an older one later than the bound after a newer one was announced.

use {
    super::{callers::Record, cluster::Cluster, disturbances::CONTACT},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// The bound, which VMs get in their settings.
pub const VERSION_BOUND: Duration = CONTACT;

/// The announcement of a version of an adapter.
#[derive(Clone, Debug)]
pub struct Announced {
    pub adapter: String,
    pub version: u32,
    /// When the store had acknowledged it.
    pub acked: Instant,
}

pub fn check_versions(
    cluster: &Cluster,
    records: &[Record],
) -> Vec<String> {
    let vms: HashMap<&str, usize> = records
        .iter()
        .map(|record| (record.id.as_str(), record.vm))
        .collect();
    let mut judged = 0;
    let mut older = 0;
    let mut violations = Vec::new();
    for begin in cluster.engine.begins() {
        let Some(&vm) = vms.get(begin.request_id.as_str()) else {
            continue;
        };
        if !cluster.disturbances.is_in_touch(vm, begin.at) {
            continue;
        }
        judged += 1;
        let mut newer = cluster.announced.iter().filter(|announced| {
            announced.adapter == begin.adapter && begin.version < Some(announced.version)
        });
        let Some(first) = newer.find(|announced| announced.acked <= begin.at) else {
            continue;
        };
        older += 1;
        let age = begin.at.duration_since(first.acked);
        if age > VERSION_BOUND {
            violations.push(format!(
                "{} began on version {:?} of {}, {age:?} after version {} was announced",
                begin.request_id, begin.version, begin.adapter, first.version
            ));
        }
    }
    println!("{judged} answers by adapters of VMs in touch, {older} on an older version");
    violations
}
