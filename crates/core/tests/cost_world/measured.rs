use jasmine_core::clock::Millis;

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Time to the response of each call, or to the first event of each generation.
    pub latencies: Vec<Millis>,
    /// The work of each call itself; zero for a generation.
    pub works: Vec<Millis>,
    /// The latency of each without its work.
    pub waits: Vec<Millis>,
    pub refused: usize,
    /// Requests that were sent to an engine whose memory was too small for what ran there.
    pub overflows: usize,
}

impl Measured {
    /// Takes the latency and the work of each request.
    pub fn of<I>(requests: I) -> Self
    where
        I: Iterator<Item = (Millis, Millis)> + Clone,
    {
        Self {
            waits: requests
                .clone()
                .map(|(all, work)| all.since(work))
                .collect(),
            latencies: requests.clone().map(|(all, _)| all).collect(),
            works: requests.map(|(_, work)| work).collect(),
            ..Self::default()
        }
    }
}

/// The time within which 99 of 100 requests are.
pub fn p99(times: &[Millis]) -> Millis {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted[sorted.len() * 99 / 100]
}
