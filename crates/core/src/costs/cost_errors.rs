/// Ratios of the measured to the expected cost of requests, as a histogram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostErrors {
    /// Number of requests with a ratio up to each of [`Self::BOUNDS`] and above the bound before it; the
    /// last one counts those above all bounds.
    pub counts: [u64; 8],
    /// Sum of the ratios.
    pub sum: f64,
}

impl CostErrors {
    /// Upper bounds of the ratios.
    pub const BOUNDS: [f64; 7] = [0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0];

    /// Adds the cost of a request.
    pub(super) fn note(
        &mut self,
        measured: f64,
        expected: f64,
    ) {
        let ratio = measured / expected.max(f64::MIN_POSITIVE);
        let at = Self::BOUNDS.partition_point(|&bound| bound < ratio);
        self.counts[at] += 1;
        self.sum += ratio;
    }
}
