use {
    super::{
        overhead::{Overhead, histogram},
        reference::wrongful_refusals,
        sample::Sample,
    },
    crate::{engine::EngineRecord, harness::AccountSpec},
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// Results of one account.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct AccountReport {
    /// Account name.
    pub account: String,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete, correct answers.
    pub whole: usize,
    /// Number of answers with unexpected text.
    pub wrong: usize,
    /// Time to first token, in milliseconds: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Time between tokens, in milliseconds: p50, p95, p99.
    pub between_ms: [f64; 3],
    /// Latency of refusals, in milliseconds: p50, p95, p99.
    pub refused_ms: [f64; 3],
    /// Number of failed requests by error code.
    pub codes: BTreeMap<String, u64>,
    /// Number of refusals within the account's rate and burst.
    pub wrongful: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Name of the load pattern.
    pub load: String,
    /// Measured duration, in seconds.
    pub seconds: u64,
    /// Results by account, in the order of the spec.
    pub accounts: Vec<AccountReport>,
    /// Mean number of tokens per engine step.
    pub tokens_a_step: f64,
    /// Number of successful adapter loads.
    pub loads: usize,
    /// Number of failed adapter loads.
    pub failed_loads: usize,
    /// Number of streams ended by an unload.
    pub cut_by_unload: u32,
    /// CPU time of each gateway, then of each controller, in milliseconds.
    pub cpu_ms: Vec<u64>,
    /// Overhead of a gateway.
    pub overhead: Overhead,
}

impl AccountReport {
    /// Summarizes the samples of an account sent at or after `from_ms`.
    pub fn new(
        account_index: usize,
        spec: &AccountSpec,
        samples: &[Sample],
        from_ms: u64,
    ) -> Self {
        let of_account = samples
            .iter()
            .filter(|sample| sample.account == account_index);
        let all: Vec<_> = of_account.collect();
        let counted = all.iter().filter(|sample| sample.sent_ms >= from_ms);
        let measured: Vec<_> = counted.collect();
        let mut codes = BTreeMap::new();
        for sample in measured.iter().filter(|sample| !sample.code.is_empty()) {
            *codes.entry(sample.code.clone()).or_default() += 1;
        }
        let whole = || measured.iter().filter(|sample| sample.is_correct);
        Self {
            account: spec.name.clone(),
            sent: measured.len(),
            whole: whole().count(),
            wrong: measured
                .iter()
                .filter(|sample| sample.has_wrong_text)
                .count(),
            first_ms: quantiles(whole().map(|sample| sample.first_us)),
            between_ms: quantiles(whole().flat_map(|sample| sample.gaps_us.iter().copied())),
            refused_ms: quantiles(
                measured
                    .iter()
                    .filter(|sample| sample.is_not_run)
                    .map(|sample| sample.took_ms * 1000),
            ),
            codes,
            wrongful: wrongful_refusals(spec, &all, from_ms),
        }
    }
}

impl Report {
    /// Adds the totals of the engine records.
    pub fn add_engine_records(
        &mut self,
        records: &[EngineRecord],
    ) {
        let steps: u64 = records.iter().map(|record| record.steps).sum();
        let tokens: u64 = records.iter().map(|record| record.tokens).sum();
        self.tokens_a_step = tokens as f64 / steps.max(1) as f64;
        self.loads = records.iter().map(|record| record.loads.len()).sum();
        self.failed_loads = records.iter().map(|record| record.failed_loads.len()).sum();
        self.cut_by_unload = records.iter().map(|record| record.cut_by_unload).sum();
    }
}

fn quantiles<I>(values_us: I) -> [f64; 3]
where
    I: Iterator<Item = u64>,
{
    let mut histogram = histogram();
    for value in values_us {
        histogram.saturating_record(value);
    }
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / 1000.0)
}

impl fmt::Display for Report {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        let format_quantiles = |[a, b, c]: [f64; 3]| format!("{a:.0}/{b:.0}/{c:.0}");
        writeln!(f, "load {} for {} s", self.load, self.seconds)?;
        writeln!(
            f,
            "{:10} {:>6} {:>6} {:>5} {:>18} {:>15} {:>15} {:>8}  not whole",
            "account",
            "sent",
            "whole",
            "wrong",
            "first ms 50/95/99",
            "between ms",
            "refused ms",
            "wrongful"
        )?;
        for row in &self.accounts {
            writeln!(
                f,
                "{:10} {:>6} {:>6} {:>5} {:>18} {:>15} {:>15} {:>8}  {:?}",
                row.account,
                row.sent,
                row.whole,
                row.wrong,
                format_quantiles(row.first_ms),
                format_quantiles(row.between_ms),
                format_quantiles(row.refused_ms),
                row.wrongful,
                row.codes
            )?;
        }
        writeln!(
            f,
            "tokens a step {:.2}, loads {}, failed loads {}, streams cut by unloads {}, cpu ms of gateways and controllers {:?}",
            self.tokens_a_step, self.loads, self.failed_loads, self.cut_by_unload, self.cpu_ms
        )?;
        let [straight_50, straight_99] = self.overhead.straight_us;
        let [through_50, through_99] = self.overhead.through_us;
        writeln!(
            f,
            "service call straight p50/p99 {straight_50}/{straight_99} us, through a gateway {through_50}/{through_99} us, gateway cpu {} us a call",
            self.overhead.gateway_cpu_us
        )
    }
}
