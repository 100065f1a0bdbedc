use {
    super::{
        engine::{Engine, MAX_BATCH},
        load::{RATES, Scenario},
        sim::Policy,
    },
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
    std::fmt::Write,
};

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The account's number.
    pub account: usize,
    /// How long it waited for its adapter to be loaded.
    pub stall: Millis,
    /// From its arrival until its first token.
    pub first_token: Option<Millis>,
    /// Whether one counter for the whole fleet, asked about all requests, would have admitted it.
    pub within: bool,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether its caller had been told to come back and has.
    pub returned: bool,
}

/// The measures of one run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Figures {
    /// The load.
    pub scenario: Scenario,
    /// What decided.
    pub policy: Policy,
    /// Requests sent, those that came back included.
    pub requests: usize,
    /// Share of the served ones that waited for a load.
    pub stalled: f64,
    /// Waits for loads of those that waited, in milliseconds: median, p95, p99.
    pub stall_ms: [u64; 3],
    /// All of them together, in seconds.
    pub stall_total_s: u64,
    /// Loads begun.
    pub loads: u64,
    /// Tokens an engine step, against a full batch.
    pub batch: f64,
    /// First token's p95 of the worst-served account, in milliseconds, and of the median one.
    pub worst_ms: u64,
    /// The median account's.
    pub median_ms: u64,
    /// Requests fewer than one counter for the whole fleet would have admitted, over all accounts.
    pub wrongful: usize,
    /// All refusals.
    pub refused: usize,
    /// Share of those who came back as told that were served then.
    pub came_back_served: f64,
    /// Requests that were neither served nor refused within a minute after the end.
    pub lost: usize,
}

fn quantile(
    sorted: &[u64],
    q: f64,
) -> u64 {
    match sorted.len() {
        0 => 0,
        n => sorted[((n as f64 * q) as usize).min(n - 1)],
    }
}

/// Counted by account: which of its requests are refused when it sends too many is not judged.
fn wrongful(outcomes: &[Outcome]) -> usize {
    (0..RATES.len())
        .map(|account| {
            let of_account = || outcomes.iter().filter(|o| o.account == account);
            let within = of_account().filter(|o| o.within).count();
            let admitted = of_account().filter(|o| !o.refused).count();
            within.saturating_sub(admitted)
        })
        .sum()
}

impl Figures {
    /// Sums a run up.
    pub fn new(
        scenario: Scenario,
        policy: Policy,
        outcomes: &[Outcome],
        engines: &[Engine],
        loads: u64,
    ) -> Self {
        let served: Vec<&Outcome> = outcomes
            .iter()
            .filter(|o| o.first_token.is_some())
            .collect();
        let mut stalls: Vec<u64> = served
            .iter()
            .map(|o| o.stall.0)
            .filter(|&stall| stall > 0)
            .collect();
        stalls.sort_unstable();
        let mut by_account: Vec<u64> = (0..RATES.len())
            .map(|account| {
                let mut waits: Vec<u64> = served
                    .iter()
                    .filter(|o| o.account == account)
                    .filter_map(|o| o.first_token)
                    .map(|wait| wait.0)
                    .collect();
                waits.sort_unstable();
                quantile(&waits, 0.95)
            })
            .collect();
        by_account.sort_unstable();
        let steps: u64 = engines.iter().map(|engine| engine.steps).sum();
        let tokens: u64 = engines.iter().map(|engine| engine.tokens).sum();
        let returned: Vec<&Outcome> = outcomes.iter().filter(|o| o.returned).collect();
        let returned_served = returned.iter().filter(|o| o.first_token.is_some()).count();
        Self {
            scenario,
            policy,
            requests: outcomes.len(),
            stalled: stalls.len() as f64 / served.len().max(1) as f64,
            stall_ms: [0.5, 0.95, 0.99].map(|q| quantile(&stalls, q)),
            stall_total_s: stalls.iter().sum::<u64>() / 1000,
            loads,
            batch: tokens as f64 / (steps.max(1) as f64 * f64::from(MAX_BATCH)),
            worst_ms: by_account.last().copied().unwrap_or(0),
            median_ms: by_account[by_account.len() / 2],
            wrongful: wrongful(outcomes),
            refused: outcomes.iter().filter(|o| o.refused).count(),
            came_back_served: returned_served as f64 / returned.len().max(1) as f64,
            lost: outcomes
                .iter()
                .filter(|o| o.first_token.is_none() && !o.refused)
                .count(),
        }
    }
}

/// All runs as one table.
pub fn table(all: &[Figures]) -> String {
    let mut out = format!(
        "{:<12}{:<12}{:>6}{:>8}{:>7}{:>7}{:>7}{:>8}{:>6}{:>7}{:>8}{:>8}{:>7}{:>7}{:>8}{:>6}\n",
        "load",
        "policy",
        "sent",
        "stall%",
        "p50",
        "p95",
        "p99",
        "total_s",
        "loads",
        "batch%",
        "worst95",
        "median",
        "wrong",
        "refus",
        "back%",
        "lost"
    );
    for f in all {
        let _ = writeln!(
            out,
            "{:<12}{:<12}{:>6}{:>8.1}{:>7}{:>7}{:>7}{:>8}{:>6}{:>7.1}{:>8}{:>8}{:>7}{:>7}{:>8.1}{:>6}",
            f.scenario.to_string(),
            f.policy.to_string(),
            f.requests,
            f.stalled * 100.0,
            f.stall_ms[0],
            f.stall_ms[1],
            f.stall_ms[2],
            f.stall_total_s,
            f.loads,
            f.batch * 100.0,
            f.worst_ms,
            f.median_ms,
            f.wrongful,
            f.refused,
            f.came_back_served * 100.0,
            f.lost
        );
    }
    out
}

/// The runs that stand in both results, side by side: before and after.
pub fn compare(
    before: &[Figures],
    after: &[Figures],
) -> String {
    let mut out = format!(
        "{:<12}{:<12}{:>18}{:>18}{:>18}{:>14}\n",
        "load", "policy", "stall total s", "stall p99", "worst95", "wrongful"
    );
    for new in after {
        let same = |old: &&Figures| (old.scenario, old.policy) == (new.scenario, new.policy);
        if let Some(old) = before.iter().find(same) {
            let pair = |old: u64, new: u64| format!("{old} -> {new}");
            let _ = writeln!(
                out,
                "{:<12}{:<12}{:>18}{:>18}{:>18}{:>14}",
                new.scenario.to_string(),
                new.policy.to_string(),
                pair(old.stall_total_s, new.stall_total_s),
                pair(old.stall_ms[2], new.stall_ms[2]),
                pair(old.worst_ms, new.worst_ms),
                pair(old.wrongful as u64, new.wrongful as u64)
            );
        }
    }
    out
}
