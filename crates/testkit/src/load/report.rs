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

/// What one account got.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct AccountReport {
    /// Its name.
    pub account: String,
    /// Requests sent.
    pub sent: usize,
    /// Answers that came whole.
    pub whole: usize,
    /// Answers with another text than asked for.
    pub wrong: usize,
    /// Milliseconds to the first token: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Milliseconds between tokens: p50, p95, p99.
    pub between_ms: [f64; 3],
    /// Milliseconds until a refusal came: p50, p95, p99.
    pub refused_ms: [f64; 3],
    /// Requests that got no whole answer, by code.
    pub codes: BTreeMap<String, u64>,
    /// Refusals of requests within the account's rate and burst.
    pub wrongful: u64,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Which load.
    pub load: String,
    /// How long it was sent, seconds.
    pub seconds: u64,
    /// The accounts, in the order of the spec.
    pub accounts: Vec<AccountReport>,
    /// Tokens made for each step of an engine.
    pub tokens_a_step: f64,
    /// Adapter loads that succeeded.
    pub loads: usize,
    /// Adapter loads that failed.
    pub failed_loads: usize,
    /// Streams cut by an unload.
    pub cut_by_unload: u32,
    /// Processor milliseconds of each gateway, then of each controller.
    pub cpu_ms: Vec<u64>,
    /// What a gateway adds to a call.
    pub overhead: Overhead,
}

impl AccountReport {
    /// What an account got out of the samples sent from `from_ms` on.
    pub fn new(
        place: usize,
        spec: &AccountSpec,
        samples: &[Sample],
        from_ms: u64,
    ) -> Self {
        let of_account = samples.iter().filter(|sample| sample.account == place);
        let all: Vec<_> = of_account.collect();
        let counted = all.iter().filter(|sample| sample.sent_ms >= from_ms);
        let mine: Vec<_> = counted.collect();
        let mut codes = BTreeMap::new();
        for sample in mine.iter().filter(|sample| !sample.code.is_empty()) {
            *codes.entry(sample.code.clone()).or_default() += 1;
        }
        let whole = || mine.iter().filter(|sample| sample.whole);
        Self {
            account: spec.name.clone(),
            sent: mine.len(),
            whole: whole().count(),
            wrong: mine.iter().filter(|sample| sample.wrong).count(),
            first_ms: quantiles(whole().map(|sample| sample.first_us)),
            between_ms: quantiles(whole().flat_map(|sample| sample.gaps_us.iter().copied())),
            refused_ms: quantiles(
                mine.iter()
                    .filter(|sample| sample.not_run)
                    .map(|sample| sample.refused_ms * 1000),
            ),
            codes,
            wrongful: wrongful_refusals(spec, &all, from_ms),
        }
    }
}

impl Report {
    /// Adds what the engines remember.
    pub fn add_engines(
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
        let three = |[a, b, c]: [f64; 3]| format!("{a:.0}/{b:.0}/{c:.0}");
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
                three(row.first_ms),
                three(row.between_ms),
                three(row.refused_ms),
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
