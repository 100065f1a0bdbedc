use {
    crate::{
        client::{Call, CallError},
        harness::{Cluster, Daemon},
    },
    awc::{Client, http::Method},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::time::Instant,
};

/// Calls each way.
const CALLS: u32 = 1000;

/// What a gateway adds to a call, microseconds at p50 and p99; straight and through taken in turn.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Overhead {
    /// A service call made straight to its server: p50 and p99.
    pub straight_us: [u64; 2],
    /// The same call through a gateway: p50 and p99.
    pub through_us: [u64; 2],
    /// Processor time of the gateway for each call.
    pub gateway_cpu_us: u64,
}

/// Measures what a gateway adds, with one call at a time on connections that stay open.
///
/// # Errors
///
/// When a call brings no answer.
pub async fn measure_overhead(cluster: &Cluster) -> Result<Overhead, CallError> {
    let account = &cluster.spec().accounts[0].name;
    let path = "/phones/17";
    let straight = Call::new(cluster.upstreams.servers[0].address, Method::GET, path);
    let through = Call::new(
        cluster.callers(1),
        Method::GET,
        &format!("/services/phones{path}"),
    );
    let through = through.key(cluster.key(account));
    let client = Client::builder().disable_timeout().finish();
    let mut times = [histogram(), histogram()];
    let cpu = || cluster.vms[0].gateway.as_ref().map_or(0, Daemon::cpu_ms);
    let cpu_before = cpu();
    for _ in 0..CALLS {
        for (call, times) in [&straight, &through].into_iter().zip(&mut times) {
            let start = Instant::now();
            let answer = call.send_with(&client).await?;
            if answer.status == 200 {
                times.saturating_record(start.elapsed().as_micros() as u64);
            }
        }
    }
    let two = |times: &Histogram<u64>| [0.5, 0.99].map(|q| times.value_at_quantile(q));
    Ok(Overhead {
        straight_us: two(&times[0]),
        through_us: two(&times[1]),
        gateway_cpu_us: (cpu() - cpu_before) * 1000 / u64::from(CALLS),
    })
}

/// A histogram of microseconds up to ten minutes.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds that a histogram takes")
}
