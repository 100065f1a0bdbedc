use {super::sample::Sample, crate::harness::AccountSpec};

/// Counts the refusals of requests that were within their account's rate and burst.
///
/// The reference is a global token bucket per account, charged with the tokens that the engines
/// counted. Requests sent before `from_ms` are charged but not counted.
pub(super) fn wrongful_refusals(
    spec: &AccountSpec,
    samples: &[&Sample],
    from_ms: u64,
) -> u64 {
    let mut level = spec.burst as f64;
    let mut last_ms = 0;
    let mut wrongful = 0;
    for sample in samples {
        let refill = (sample.sent_ms - last_ms) as f64 * spec.rate as f64 / 1000.0;
        level = (level + refill).min(spec.burst as f64);
        last_ms = sample.sent_ms;
        let refused = sample.is_not_run && sample.sent_ms >= from_ms;
        wrongful += u64::from(refused && level >= sample.cost_bound as f64);
        level -= sample.cost as f64;
    }
    wrongful
}
