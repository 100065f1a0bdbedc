//! Invariants on what callers, upstreams and engines have seen.

use {
    super::{
        callers::{CallResult, Record},
        cluster::{Cluster, EVENTS},
        configuration::{BURST_ACCOUNTS, SMALL_KEY},
        crashing_parts::check_parts,
        load::{check_bursts, is_of_burst},
        older_versions::check_versions,
        resumed_streams::check_streams,
    },
    crate::deployment::{API_KEY, Response},
    jasmine_platform_stand_in::{RecordedRequest, UpstreamStandIn},
    std::collections::HashMap,
};

/// Statuses which state that the request didn't run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Bodies of complete upstream responses.
const COMPLETE_BODIES: [&str; 3] = ["ok", "first", "slow"];

/// Targets that the configuration refuses at times: without a route, and beyond the rate of an account.
const REFUSED_TARGETS: [&str; 2] = ["/extra/x", "/small/x"];

/// Requests that reach VMs in touch, at least.
const MIN_CALM_REQUESTS: usize = 100;

pub fn check(
    cluster: &Cluster,
    records: &[Record],
) -> Vec<String> {
    let seen: Vec<RecordedRequest> = cluster
        .upstreams
        .iter()
        .chain([&cluster.streams, &cluster.spare, &cluster.busy])
        .chain(&cluster.builds)
        .chain(&cluster.released)
        .flat_map(UpstreamStandIn::executed)
        .collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for seen in &seen {
        let id = seen.headers.get("x-request-id").cloned();
        *runs.entry(id.unwrap_or_default()).or_default() += 1;
    }
    let mut violations: Vec<String> = Vec::new();
    for record in records {
        let runs = runs.get(&record.id).copied().unwrap_or_default();
        violations.extend(check_runs(record, runs));
        violations.extend(check_response(record));
    }
    violations.extend(seen.iter().filter_map(check_headers));
    violations.extend(check_engine(cluster));
    let logs = cluster.logs();
    if contains_key(&logs) {
        violations.push("an API key is in the logs".to_owned());
    }
    violations.extend(check_streams(&cluster.disturbances, records));
    violations.extend(check_availability(cluster, records));
    violations.extend(check_parts(cluster, records));
    violations.extend(check_versions(cluster, records));
    violations.extend(check_bursts(&cluster.disturbances, records));
    violations
}

/// At least half of the requests that get a response are served, but at VMs that no upstream could be reached from,
/// and three quarters at VMs that are in touch.
fn check_availability(
    cluster: &Cluster,
    records: &[Record],
) -> Vec<String> {
    let disturbances = &cluster.disturbances;
    let is_allowed = |record: &&Record| !REFUSED_TARGETS.contains(&record.target);
    let sound = || {
        let sound = records.iter().filter(|record| record.bad_part.is_none());
        sound
            .filter(is_allowed)
            .filter(|record| !is_of_burst(record))
    };
    let reachable = sound().filter(|record| !disturbances.is_cut_off(record.vm, record.sent));
    let (answered, served) = count_served(reachable);
    let calm = sound().filter(|record| disturbances.is_in_touch(record.vm, record.sent));
    let (calm_answered, calm_served) = count_served(calm);
    println!(
        "{served} served of {answered} answered of {}, {calm_served} of {calm_answered} in touch",
        records.len()
    );
    let mut violations = Vec::new();
    if served * 2 < answered {
        violations.push(format!("only {served} of {answered} served"));
    }
    if calm_answered < MIN_CALM_REQUESTS || calm_served * 4 < calm_answered * 3 {
        violations.push(format!(
            "{calm_served} of {calm_answered} served by VMs in touch"
        ));
    }
    violations
}

/// How many requests got a response, and how many were served.
pub fn count_served<'a, I>(records: I) -> (usize, usize)
where
    I: Iterator<Item = &'a Record>,
{
    records
        .filter(|record| record.has_response())
        .fold((0, 0), |(answered, served), record| {
            (answered + 1, served + usize::from(record.is_served()))
        })
}

/// A non-idempotent request runs at most once, and not if its caller was told that it didn't run.
pub fn check_runs(
    record: &Record,
    runs: u32,
) -> Option<String> {
    if !record.target.starts_with("/write/") {
        return None;
    }
    match &record.result {
        _ if runs > 1 => Some(format!("{} ran {runs} times", record.id)),
        CallResult::Response(response)
            if NOT_RUN_STATUSES.contains(&response.status) && runs > 0 =>
        {
            Some(format!(
                "{} ran, but its status is {}",
                record.id, response.status
            ))
        }
        CallResult::Response(response)
            if response.status == 200 && response.is_complete && runs == 0 =>
        {
            Some(format!("{} succeeded, but never ran", record.id))
        }
        _ => None,
    }
}

/// A successful response belongs to its request and is complete.
fn check_response(record: &Record) -> Option<String> {
    let CallResult::Response(response) = &record.result else {
        return None;
    };
    if response.status != 200 {
        return None;
    }
    let id = response.header("x-request-id");
    let text = response.text();
    match record.target {
        _ if id.as_deref() != Some(&record.id) => {
            Some(format!("{} got the response to {id:?}", record.id))
        }
        "/flow/x" => check_stream(record, response),
        "/model/x" | "/build/x" | "/part/x" => None,
        _ if response.is_complete && !COMPLETE_BODIES.contains(&text.as_str()) => {
            Some(format!("{} got the unexpected body {text:?}", record.id))
        }
        _ => None,
    }
}

/// A stream has each event once and in order, and isn't complete before its last event.
fn check_stream(
    record: &Record,
    response: &Response,
) -> Option<String> {
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let is_incomplete = response.is_complete && ids.len() as u64 != EVENTS;
    (!is_in_order || is_incomplete).then(|| {
        format!(
            "{}: events {ids:?}, whole {}",
            record.id, response.is_complete
        )
    })
}

fn contains_key(text: &str) -> bool {
    let mut of_bursts = BURST_ACCOUNTS.iter();
    text.contains(API_KEY)
        || text.contains(SMALL_KEY)
        || of_bursts.any(|account| text.contains(account.key))
}

/// Upstreams get the right account and never an API key.
fn check_headers(seen: &RecordedRequest) -> Option<String> {
    let id = seen.headers.get("x-request-id");
    let mut values = seen.headers.values();
    let has_key = values.any(|value| contains_key(value));
    let account = seen.headers.get("x-tenant").map(String::as_str);
    let mut of_bursts = BURST_ACCOUNTS.iter();
    let expected = match of_bursts.find(|account| account.target == seen.target) {
        Some(account) => account.name,
        None if seen.target.starts_with("/small/") => "small",
        None => "one",
    };
    match account {
        _ if has_key => Some(format!("{id:?}: the API key was forwarded to an upstream")),
        Some(account) if account == expected => None,
        other => Some(format!(
            "{id:?} ran for account {other:?}, expected {expected:?}"
        )),
    }
}

/// Engines are never overfilled, and their orders' fencing tokens never decrease.
fn check_engine(cluster: &Cluster) -> Vec<String> {
    let mut violations = Vec::new();
    if cluster.engine.over_capacity_orders() > 0 {
        violations.push(format!(
            "the engine was overfilled {} times",
            cluster.engine.over_capacity_orders()
        ));
    }
    let orders = cluster.engine.orders();
    let fences: Vec<Option<u64>> = orders.iter().map(|order| order["fence"].as_u64()).collect();
    if !fences.is_sorted() {
        violations.push(format!("decreasing fencing tokens of orders: {fences:?}"));
    }
    violations
}

impl Record {
    pub const fn has_response(&self) -> bool {
        matches!(self.result, CallResult::Response(_))
    }

    pub fn is_served(&self) -> bool {
        matches!(&self.result, CallResult::Response(response) if response.status == 200 && response.is_complete)
    }
}
