use {super::sample::Sample, crate::harness::AccountSpec};

/// Counts the refusals of requests that were within their account's rate and burst.
///
/// One bucket of the account's rate and burst over the whole fleet, charged with what the engines
/// counted for each request that ran. A request that the bucket had room for and that was refused
/// all the same was refused wrongfully, whatever the code. Those sent before `from_ms` use up tokens
/// and aren't counted.
pub(super) fn wrongful_refusals(
    spec: &AccountSpec,
    samples: &[&Sample],
    from_ms: u64,
) -> u64 {
    let mut level = spec.burst as f64;
    let mut last_ms = 0;
    let mut wrongful = 0;
    for sample in samples {
        let filled = (sample.sent_ms - last_ms) as f64 * spec.rate as f64 / 1000.0;
        level = (level + filled).min(spec.burst as f64);
        last_ms = sample.sent_ms;
        let refused = sample.not_run && sample.sent_ms >= from_ms;
        wrongful += u64::from(refused && level >= sample.cost_bound as f64);
        level -= sample.cost as f64;
    }
    wrongful
}
