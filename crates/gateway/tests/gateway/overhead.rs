//! What the gateway adds to a call, measured against the stand-in called straight.
//!
//! CI sees that both ways serve. The measurement wants a release build and an idle machine:
//! `JASMINE_CALLS=4000 cargo test --release -p jasmine-gateway --test gateway overhead -- --nocapture`

use {
    crate::support::{Bench, BenchSpec, KEY},
    awc::{Client, http::Method},
    jasmine_testkit::client::Call,
    std::{
        env, fs,
        time::{Duration, Instant},
    },
};

/// Calls of each kind in CI, taken in turn so that both see the same machine.
const CALLS: usize = 20;
/// Calls that warm both ways up.
const WARM_UP: usize = 10;
/// Callers at the same time, for the throughput.
const CALLERS: usize = 48;
/// How long the throughput is measured, for each call of a kind.
const SPELL_A_CALL: Duration = Duration::from_millis(1);

#[actix_rt::test]
async fn added_time() {
    let calls = env::var("JASMINE_CALLS")
        .ok()
        .and_then(|calls| calls.parse().ok())
        .unwrap_or(CALLS);
    let bench = Bench::start(BenchSpec {
        proxied: false,
        servers: 1,
        engines: 1,
        ..BenchSpec::default()
    })
    .await;
    let through = bench.call(Method::GET, "/services/phones/phones/17");
    let straight = Call::new(bench.server_addresses()[0], Method::GET, "/phones/17").key(KEY);
    compare("plain call", &through, &straight, calls).await;
    let through = bench.chat("base", "hi", 1, true);
    let straight = Call::chat(bench.engine_addresses()[0], KEY, "base", "hi", 1, true);
    compare("streamed token", &through, &straight, calls / 10 + 1).await;
    throughput(&bench, SPELL_A_CALL * calls as u32).await;
}

/// Sends both calls in turn and prints what one has over the other.
async fn compare(
    what: &str,
    through: &Call,
    straight: &Call,
    calls: usize,
) {
    let client = Client::builder().disable_timeout().finish();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for n in 0..WARM_UP + calls {
        for (call, took) in [(through, &mut with), (straight, &mut without)] {
            let answer = call.send_with(&client).await.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
            if n >= WARM_UP {
                took.push(answer.took);
            }
        }
    }
    let (with, without) = (quantiles(with), quantiles(without));
    println!(
        "{what}, {calls} each: through p50={:?} p99={:?}, straight p50={:?} p99={:?}",
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
    bench: &Bench,
    spell: Duration,
) {
    let call = bench.call(Method::GET, "/services/phones/phones/17");
    let (began, cpu) = (Instant::now(), cpu_of_gateway());
    let callers = (0..CALLERS).map(|_| async {
        let client = Client::builder().disable_timeout().finish();
        let mut done = 0_u32;
        while began.elapsed() < spell {
            let answer = call.send_with(&client).await.expect("an answer");
            done += u32::from(answer.status == 200);
        }
        done
    });
    let done: u32 = futures::future::join_all(callers).await.into_iter().sum();
    let spent = cpu_of_gateway().saturating_sub(cpu);
    assert!(done > 0, "nothing served");
    println!(
        "{done} answers in {:?} with {CALLERS} callers, gateway used {spent:?} of processor time: {:.0} a second a core",
        began.elapsed(),
        f64::from(done) / spent.as_secs_f64(),
    );
}

fn quantiles(mut all: Vec<Duration>) -> (Duration, Duration) {
    all.sort_unstable();
    (all[all.len() / 2], all[all.len() * 99 / 100])
}

/// Processor time of the only child process, user and system.
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
    // Fields 14 and 15 of the line, in hundredths of a second.
    Duration::from_millis((fields[10] + fields[11]) * 10)
}
