//! Streams that callers take up after they broke off, beside upstreams of several software versions.

use {
    super::{
        callers::{CallResult, Record},
        cluster::EVENTS,
        disturbances::Disturbances,
    },
    crate::deployment::Event,
    std::collections::BTreeMap,
};

/// Taken-up streams from which on their share is compared with that of new ones.
const MIN_TAKEN_UP: usize = 12;

/// The events that a caller received with one attempt.
pub fn events_of(result: &CallResult) -> Vec<Event> {
    match result {
        CallResult::Response(response) => response.events(),
        CallResult::NoResponse => Vec::new(),
    }
}

/// A stream holds events of one version, each once and in order, over all attempts of its caller; streams that are
/// taken up go on at least half as often as new ones begin, while not all VMs have just started and one reaches
/// upstreams.
pub fn check_streams(
    disturbances: &Disturbances,
    records: &[Record],
) -> Vec<String> {
    let attempts = records.iter().filter(|record| record.target == "/build/x");
    let mut streams: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in attempts.clone() {
        let first = record.resumes.as_deref().unwrap_or(&record.id);
        streams.entry(first).or_default().push(record);
    }
    let mut violations: Vec<String> = streams
        .values()
        .filter_map(|of| check_stream(of, EVENTS))
        .collect();
    let (taken_up, new): (Vec<&Record>, Vec<&Record>) = attempts
        .filter(|record| has_running_vm(&record.result))
        .filter(|record| !disturbances.have_all_started(record.sent))
        // No VM can serve these: one without links refuses them while no other one relays.
        .filter(|record| !disturbances.is_cut_off_but_for_starts(record.vm, record.sent))
        .partition(|record| record.resumes.is_some());
    let goes_on = |of: &[&Record]| {
        let with_events = of.iter().filter(|one| !events_of(&one.result).is_empty());
        with_events.count()
    };
    let (resumed, begun) = (goes_on(&taken_up), goes_on(&new));
    println!(
        "{begun} of {} streams begun, {resumed} of {} gone on with",
        new.len(),
        taken_up.len()
    );
    let is_share_low = resumed * new.len() * 2 < begun * taken_up.len();
    if taken_up.len() >= MIN_TAKEN_UP && is_share_low {
        violations.push(format!(
            "{resumed} of {} streams went on, though {begun} of {} began",
            taken_up.len(),
            new.len()
        ));
    }
    violations
}

/// Whether a VM has responded that isn't down, cut off or being stopped.
fn has_running_vm(result: &CallResult) -> bool {
    match result {
        CallResult::Response(response) => !response.text().contains("shutting_down"),
        CallResult::NoResponse => false,
    }
}

/// A stream of so many events holds those of one version, each once and in order, over all attempts of its caller.
pub fn check_stream(
    attempts: &[&Record],
    expected: u64,
) -> Option<String> {
    let events: Vec<Event> = attempts
        .iter()
        .flat_map(|record| events_of(&record.result))
        .collect();
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let has_one_build = events.iter().all(|event| event.build == events[0].build);
    let is_complete = attempts.iter().any(|record| record.is_served());
    let is_whole = !is_complete || ids.len() as u64 == expected;
    (!is_in_order || !has_one_build || !is_whole)
        .then(|| format!("{}: events {events:?}", attempts[0].id))
}
