//! Invariants on what callers, upstreams and engines have seen.

use {
    super::{
        callers::{Record, Said},
        world::{EVENTS, World},
    },
    crate::deployment::{Answer, KEY},
    jasmine_platform_stand_in::{Seen, UpstreamStandIn},
    std::collections::HashMap,
};

/// Statuses which state that the request didn't run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Bodies of complete upstream responses.
const WHOLE: [&str; 3] = ["ok", "first", "slow"];

pub fn check(
    world: &World,
    records: &[Record],
) -> Vec<String> {
    let seen: Vec<Seen> = world
        .upstreams
        .iter()
        .chain([&world.streams])
        .flat_map(UpstreamStandIn::ran)
        .collect();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for seen in &seen {
        let id = seen.headers.get("x-request-id").cloned();
        *runs.entry(id.unwrap_or_default()).or_default() += 1;
    }
    let mut broken: Vec<String> = Vec::new();
    for record in records {
        let runs = runs.get(&record.id).copied().unwrap_or_default();
        broken.extend(of_runs(record, runs));
        broken.extend(of_answer(record));
    }
    broken.extend(seen.iter().filter_map(of_headers));
    broken.extend(of_engine(world));
    if world.logs().contains(KEY) {
        broken.push("an API key is in the logs".to_owned());
    }
    broken.extend(of_service(records));
    broken
}

/// At least half of the requests that get a response are served.
fn of_service(records: &[Record]) -> Option<String> {
    let answered = records.iter().filter(|record| record.is_answered()).count();
    let served = records.iter().filter(|record| record.is_served()).count();
    println!(
        "{served} served of {answered} answered of {}",
        records.len()
    );
    (served * 2 < answered).then(|| format!("only {served} of {answered} served"))
}

/// A non-idempotent request runs at most once, and not if its caller was told that it didn't run.
fn of_runs(
    record: &Record,
    runs: u32,
) -> Option<String> {
    if !record.target.starts_with("/write/") {
        return None;
    }
    match &record.said {
        _ if runs > 1 => Some(format!("{} ran {runs} times", record.id)),
        Said::Answer(answer) if NOT_RUN.contains(&answer.status) && runs > 0 => Some(format!(
            "{} ran, but its status is {}",
            record.id, answer.status
        )),
        Said::Answer(answer) if answer.status == 200 && answer.is_whole && runs == 0 => {
            Some(format!("{} succeeded, but never ran", record.id))
        }
        _ => None,
    }
}

/// A successful response belongs to its request and is complete.
fn of_answer(record: &Record) -> Option<String> {
    let Said::Answer(answer) = &record.said else {
        return None;
    };
    if answer.status != 200 {
        return None;
    }
    let id = answer.header("x-request-id");
    let text = answer.text();
    match record.target {
        _ if id.as_deref() != Some(&record.id) => {
            Some(format!("{} got the response to {id:?}", record.id))
        }
        "/flow/x" => of_stream(record, answer),
        "/model/x" => None,
        _ if answer.is_whole && !WHOLE.contains(&text.as_str()) => {
            Some(format!("{} got the unexpected body {text:?}", record.id))
        }
        _ => None,
    }
}

/// A stream has each event once and in order, and isn't complete before its last event.
fn of_stream(
    record: &Record,
    answer: &Answer,
) -> Option<String> {
    let text = answer.text();
    let ids: Vec<u64> = text
        .split("\n\n")
        .filter(|event| event.contains("data: piece-"))
        .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("id: ")))
        .filter_map(|id| id.parse().ok())
        .collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let is_short = answer.is_whole && ids.len() as u64 != EVENTS;
    (!in_order || is_short)
        .then(|| format!("{}: events {ids:?}, whole {}", record.id, answer.is_whole))
}

/// Upstreams get the right account and never an API key.
fn of_headers(seen: &Seen) -> Option<String> {
    let id = seen.headers.get("x-request-id");
    let has_key = seen.headers.values().any(|value| value.contains(KEY));
    let account = seen.headers.get("x-tenant").map(String::as_str);
    match account {
        _ if has_key => Some(format!("{id:?}: the API key was forwarded to an upstream")),
        Some("one") => None,
        other => Some(format!(
            "{id:?} ran for account {other:?}, expected \"one\""
        )),
    }
}

/// Engines are never overfilled, and their orders' fencing tokens never decrease.
fn of_engine(world: &World) -> Vec<String> {
    let mut broken = Vec::new();
    if world.engine.overfilled() > 0 {
        broken.push(format!(
            "the engine was overfilled {} times",
            world.engine.overfilled()
        ));
    }
    let orders = world.engine.orders();
    let fences: Vec<Option<u64>> = orders.iter().map(|order| order["fence"].as_u64()).collect();
    if !fences.is_sorted() {
        broken.push(format!("decreasing fencing tokens of orders: {fences:?}"));
    }
    broken
}

impl Record {
    const fn is_answered(&self) -> bool {
        matches!(self.said, Said::Answer(_))
    }

    fn is_served(&self) -> bool {
        matches!(&self.said, Said::Answer(answer) if answer.status == 200 && answer.is_whole)
    }
}
