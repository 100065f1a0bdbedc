//! Latency and throughput of the gateway, compared with direct calls of the simulated upstream.
//!
//! CI only checks that both paths respond. To measure, use a release build on an idle machine:
//! `JASMINE_CALLS=4000 cargo test --release -p jasmine-gateway --test gateway overhead -- --nocapture`

use {
    crate::support::{FixtureSettings, GatewayFixture, KEY},
    awc::{Client, http::Method},
    jasmine_testkit::client::Call,
    std::{
        env, fs,
        time::{Duration, Instant},
    },
};

/// Number of calls per path in CI; the paths alternate to run under the same load.
const CALLS_PER_KIND: usize = 20;
/// Number of unmeasured calls per path.
const WARM_UP_CALLS: usize = 10;
/// Number of concurrent callers of the throughput measurement.
const CONCURRENT_CALLERS: usize = 48;
/// Duration of the throughput measurement per configured call.
const THROUGHPUT_TIME_PER_CALL: Duration = Duration::from_millis(1);

#[actix_rt::test]
async fn added_latency() {
    let calls = env::var("JASMINE_CALLS")
        .ok()
        .and_then(|calls| calls.parse().ok())
        .unwrap_or(CALLS_PER_KIND);
    let fixture = GatewayFixture::start(FixtureSettings {
        is_proxied: false,
        servers: 1,
        engines: 1,
        ..FixtureSettings::default()
    })
    .await;
    let via_gateway = fixture.call(Method::GET, "/services/phones/phones/17");
    let direct = Call::new(fixture.server_addresses()[0], Method::GET, "/phones/17").key(KEY);
    compare_latency("plain call", &via_gateway, &direct, calls).await;
    let via_gateway = fixture.chat("base", "hi", 1, true);
    let direct = Call::chat(fixture.engine_addresses()[0], KEY, "base", "hi", 1, true);
    compare_latency("streamed token", &via_gateway, &direct, calls / 10 + 1).await;
    throughput(&fixture, THROUGHPUT_TIME_PER_CALL * calls as u32).await;
}

/// Alternates both calls and prints their latencies and the difference.
async fn compare_latency(
    what: &str,
    via_gateway: &Call,
    direct: &Call,
    calls: usize,
) {
    let client = Client::builder().disable_timeout().finish();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for n in 0..WARM_UP_CALLS + calls {
        for (call, took) in [(via_gateway, &mut with), (direct, &mut without)] {
            let answer = call.send_with(&client).await.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
            if n >= WARM_UP_CALLS {
                took.push(answer.took);
            }
        }
    }
    let (with, without) = (quantiles(with), quantiles(without));
    println!(
        "{what}, {calls} each: via gateway p50={:?} p99={:?}, direct p50={:?} p99={:?}",
        with.0, with.1, without.0, without.1
    );
    println!(
        "{what}: added p50={:?} p99={:?} ratio p50={:.2} p99={:.2}",
        with.0.saturating_sub(without.0),
        with.1.saturating_sub(without.1),
        with.0.as_secs_f64() / without.0.as_secs_f64(),
        with.1.as_secs_f64() / without.1.as_secs_f64(),
    );
}

async fn throughput(
    fixture: &GatewayFixture,
    duration: Duration,
) {
    let call = fixture.call(Method::GET, "/services/phones/phones/17");
    let (started, cpu) = (Instant::now(), cpu_of_gateway());
    let callers = (0..CONCURRENT_CALLERS).map(|_| async {
        let client = Client::builder().disable_timeout().finish();
        let mut done = 0_u32;
        loop {
            let answer = call.send_with(&client).await.expect("an answer");
            done += u32::from(answer.status == 200);
            if started.elapsed() >= duration {
                return done;
            }
        }
    });
    let done: u32 = futures::future::join_all(callers).await.into_iter().sum();
    let spent = cpu_of_gateway().saturating_sub(cpu);
    assert!(done > 0, "nothing served");
    println!(
        "{done} answers in {:?} with {CONCURRENT_CALLERS} callers, gateway used {spent:?} of CPU time: {:.0} per second and core",
        started.elapsed(),
        f64::from(done) / spent.as_secs_f64(),
    );
}

fn quantiles(mut all: Vec<Duration>) -> (Duration, Duration) {
    all.sort_unstable();
    (all[all.len() / 2], all[all.len() * 99 / 100])
}

/// Returns the user and system CPU time of the only child process.
fn cpu_of_gateway() -> Duration {
    let children = fs::read_dir("/proc/self/task")
        .expect("Linux")
        .filter_map(|task| fs::read_to_string(task.ok()?.path().join("children")).ok());
    let pid = children.collect::<Vec<_>>().join(" ");
    let pid = pid.split_whitespace().next().expect("a gateway");
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("a gateway");
    let after_name = stat.rsplit_once(')').expect("a name").1;
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .skip(1)
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    // utime and stime (fields 14 and 15), in clock ticks of 10 ms.
    Duration::from_millis((fields[10] + fields[11]) * 10)
}
