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

/// Number of calls per path.
const CALLS: u32 = 1000;

/// Latency of direct and proxied calls, measured alternately.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Overhead {
    /// Latency of a direct call to the server, in microseconds: p50, p99.
    pub straight_us: [u64; 2],
    /// Latency of the same call through a gateway, in microseconds: p50, p99.
    pub through_us: [u64; 2],
    /// CPU time of the gateway per call, in microseconds.
    pub gateway_cpu_us: u64,
}

/// Measures the overhead of a gateway with sequential calls on keep-alive connections.
///
/// # Errors
///
/// When a call fails without an answer.
pub async fn measure_overhead(cluster: &Cluster) -> Result<Overhead, CallError> {
    let account = &cluster.spec().accounts[0].name;
    let path = "/phones/17";
    let direct = Call::new(cluster.upstreams.servers[0].address, Method::GET, path);
    let via_gateway = Call::new(
        cluster.caller_address(1),
        Method::GET,
        &format!("/services/phones{path}"),
    );
    let via_gateway = via_gateway.key(cluster.key(account));
    let client = Client::builder().disable_timeout().finish();
    let mut times = [histogram(), histogram()];
    let cpu = || cluster.vms[0].gateway.as_ref().map_or(0, Daemon::cpu_ms);
    let cpu_before = cpu();
    for _ in 0..CALLS {
        for (call, times) in [&direct, &via_gateway].into_iter().zip(&mut times) {
            let start = Instant::now();
            let answer = call.send_with(&client).await?;
            if answer.status == 200 {
                times.saturating_record(start.elapsed().as_micros() as u64);
            }
        }
    }
    let p50_p99 = |times: &Histogram<u64>| [0.5, 0.99].map(|q| times.value_at_quantile(q));
    Ok(Overhead {
        straight_us: p50_p99(&times[0]),
        through_us: p50_p99(&times[1]),
        gateway_cpu_us: (cpu() - cpu_before) * 1000 / u64::from(CALLS),
    })
}

/// Creates a histogram of up to ten minutes, in microseconds.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}
