use {
    super::{
        engine::{Engine, MAX_BATCH},
        sim::Policy,
        workload::{ACCOUNT_RATES, Scenario},
    },
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
    std::fmt::Write,
};

/// Outcome of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Index of the client account.
    pub account: usize,
    /// Time spent waiting for its adapter to be loaded.
    pub stall: Millis,
    /// Time to first token, none if it was not served.
    pub first_token: Option<Millis>,
    /// Whether a global token bucket would have admitted it.
    pub is_within_limit: bool,
    /// Whether it was refused.
    pub is_refused: bool,
    /// Whether it is a retry after a refusal.
    pub is_retry: bool,
}

/// Metrics of one run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunMetrics {
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Policy of the run.
    pub policy: Policy,
    /// Requests sent, including retries.
    pub requests: usize,
    /// Share of the served requests that waited for a load.
    pub stalled: f64,
    /// Waiting time of stalled requests, in milliseconds: median, p95, p99.
    pub stall_ms: [u64; 3],
    /// Total waiting time for loads, in seconds.
    pub stall_total_s: u64,
    /// Number of loads started.
    pub loads: u64,
    /// Mean batch utilization, from 0 to 1.
    pub batch: f64,
    /// p95 of the time to first token, in milliseconds, for the worst account.
    pub worst_ms: u64,
    /// p95 of the time to first token, in milliseconds, for the median account.
    pub median_ms: u64,
    /// Requests refused beyond what a global token bucket would have refused.
    pub wrongful: usize,
    /// Number of refused requests.
    pub refused: usize,
    /// Share of retries that were served.
    pub came_back_served: f64,
    /// Requests neither served nor refused by the end of the run.
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

/// Counts excess refusals per account, regardless of which requests were refused.
fn wrongful(outcomes: &[Outcome]) -> usize {
    (0..ACCOUNT_RATES.len())
        .map(|account| {
            let of_account = || outcomes.iter().filter(|o| o.account == account);
            let within = of_account().filter(|o| o.is_within_limit).count();
            let admitted = of_account().filter(|o| !o.is_refused).count();
            within.saturating_sub(admitted)
        })
        .sum()
}

impl RunMetrics {
    /// Computes the metrics of a run.
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
        let mut by_account: Vec<u64> = (0..ACCOUNT_RATES.len())
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
        let returned: Vec<&Outcome> = outcomes.iter().filter(|o| o.is_retry).collect();
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
            refused: outcomes.iter().filter(|o| o.is_refused).count(),
            came_back_served: returned_served as f64 / returned.len().max(1) as f64,
            lost: outcomes
                .iter()
                .filter(|o| o.first_token.is_none() && !o.is_refused)
                .count(),
        }
    }
}

/// Formats all runs as a table.
pub fn table(all: &[RunMetrics]) -> String {
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

/// Formats a before/after comparison of the runs present in both results.
pub fn compare(
    before: &[RunMetrics],
    after: &[RunMetrics],
) -> String {
    let mut out = format!(
        "{:<12}{:<12}{:>18}{:>18}{:>18}{:>14}\n",
        "load", "policy", "stall total s", "stall p99", "worst95", "wrongful"
    );
    for new in after {
        let same = |old: &&RunMetrics| (old.scenario, old.policy) == (new.scenario, new.policy);
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
