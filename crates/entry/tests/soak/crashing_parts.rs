//! Prompts with a part that crashes engines: few reach engines once enough have crashed.

use {
    super::{callers::Record, cluster::Cluster, disturbances::CONTACT, fault::CRASHING_PARTS},
    jasmine_platform_stand_in::EngineStandIn,
    std::{collections::HashMap, time::Instant},
};

/// Crashes under a part after which it has to be known.
const MAX_CRASHES: usize = 5;
/// Requests with it that may reach engines after that.
const MAX_LATE: usize = 3;

pub fn check_parts(
    cluster: &Cluster,
    records: &[Record],
) -> Vec<String> {
    let by_id: HashMap<&str, &Record> = records
        .iter()
        .map(|record| (record.id.as_str(), record))
        .collect();
    let check = |part: &&str| check_part(cluster, &by_id, part);
    CRASHING_PARTS.iter().filter_map(check).collect()
}

fn check_part(
    cluster: &Cluster,
    by_id: &HashMap<&str, &Record>,
    part: &str,
) -> Option<String> {
    let engines = &cluster.crash_engines;
    let crashes = engines.iter().flat_map(EngineStandIn::crashes);
    let crashes = crashes.filter(|crash| crash.part.as_deref() == Some(part));
    let mut crashes: Vec<Instant> = crashes.map(|crash| crash.at).collect();
    crashes.sort();
    let due = crashes.get(MAX_CRASHES - 1).map(|&at| at + CONTACT);
    let arrivals = engines.iter().flat_map(EngineStandIn::arrivals);
    let late = arrivals.filter(|arrival| {
        let is_late = due.is_some_and(|due| arrival.at > due);
        is_late && arrival.parts.iter().any(|one| one == part)
    });
    let late = late.filter(|arrival| {
        let record = by_id.get(arrival.request_id.as_str());
        record.is_some_and(|record| cluster.disturbances.is_in_touch(record.vm, arrival.at))
    });
    let late = late.count();
    println!("{part}: {} crashes, {late} requests later", crashes.len());
    (late > MAX_LATE).then(|| {
        format!(
            "{late} requests with the part {part} were sent after {} crashes",
            crashes.len()
        )
    })
}
