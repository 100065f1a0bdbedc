//! What an account may use over the whole fleet, checked from the engines' own record.

use {
    jasmine_testkit::{
        client::Call,
        engine::RanRequest,
        harness::{AccountSpec, Cluster, ClusterSpec},
        proxy::Fault,
    },
    std::time::{Duration, Instant},
};

/// Tokens a second of the account, and tokens at once.
const RATE: u64 = 200;
const BURST: u64 = 2000;

/// Milliseconds that a request may wait between its admission and the engine's record of it.
const QUEUE_SLACK_MS: u64 = 1000;

fn spec(vms: u32) -> ClusterSpec {
    ClusterSpec {
        vms,
        accounts: vec![AccountSpec::new("courier", RATE, BURST)],
        ..ClusterSpec::default()
    }
}

/// Sends without pause to one VM: how many came whole and how many were refused for the rate.
async fn hammer(
    cluster: &Cluster,
    vm: u32,
    until: Instant,
) -> (u32, u32) {
    let (mut whole, mut refused) = (0, 0);
    while Instant::now() < until {
        let Some(gateway) = cluster.vms[vm as usize - 1].gateway.as_ref() else {
            break;
        };
        let to = gateway.port("callers");
        match Call::chat(to, cluster.key("courier"), "base", "hi", 16, true)
            .send()
            .await
        {
            Ok(answer) if answer.is_whole() => whole += 1,
            Ok(answer) if answer.code() == "rate_limited" => refused += 1,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    (whole, refused)
}

async fn hammer_all(
    cluster: &Cluster,
    run: Duration,
) -> (u32, u32) {
    let until = Instant::now() + run;
    let lanes = cluster.vms.iter().flat_map(|vm| [vm.number; 4]);
    let counts = futures::future::join_all(lanes.map(|vm| hammer(cluster, vm, until))).await;
    counts
        .iter()
        .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Asserts that in every window the engines ran at most the burst and the rate times the window.
async fn assert_bound(cluster: &Cluster) -> u64 {
    let records = cluster.upstreams.engine_records().await;
    let mut rows: Vec<_> = records.iter().flat_map(|record| &record.requests).collect();
    rows.sort_by_key(|row| row.start_ms);
    let cost = |row: &RanRequest| u64::from(row.prompt_tokens + row.tokens);
    for (first, from) in rows.iter().enumerate() {
        let mut used = 0;
        for to in &rows[first..] {
            used += cost(to);
            let window = to.start_ms - from.start_ms + QUEUE_SLACK_MS;
            let allowed = BURST + RATE * window / 1000;
            assert!(
                used <= allowed,
                "{used} tokens in {window} ms, allowed {allowed}"
            );
        }
    }
    rows.into_iter().map(cost).sum()
}

/// An account sends many times its rate to every VM. Each VM alone would let the whole rate through,
/// and the other accounts would wait behind it.
#[actix_web::test]
async fn all_vms_hammered() {
    let cluster = Cluster::start(spec(3)).await.unwrap();
    let (whole, refused) = hammer_all(&cluster, Duration::from_secs(6)).await;
    let used = assert_bound(&cluster).await;
    println!(
        "{whole} whole, {refused} refused, {used} tokens of {}",
        BURST + 6 * RATE
    );
    assert!(refused > 0);
    // Most of what the account may use should also be had.
    assert!(used * 10 >= (BURST + 6 * RATE) * 5, "{used}");
}

/// A gateway is killed and replaced, again and again, under an account over its rate. If a new
/// process came with a fresh burst, each replacement would give tokens away.
#[actix_web::test]
async fn gateways_replaced() {
    let mut cluster = Cluster::start(spec(2)).await.unwrap();
    for _ in 0..3 {
        hammer_all(&cluster, Duration::from_secs(2)).await;
        cluster.vms[0].gateway.take().unwrap().kill();
        hammer_all(&cluster, Duration::from_secs(1)).await;
        cluster.vms[0].start_gateway().unwrap();
    }
    hammer_all(&cluster, Duration::from_secs(3)).await;
    let used = assert_bound(&cluster).await;
    println!("{used} tokens");
}

/// The VMs lose each other while an account sends more than its rate to both. Neither may take the
/// other's share because it is silent.
#[actix_web::test]
async fn vms_cut_apart() {
    let cluster = Cluster::start(spec(2)).await.unwrap();
    hammer_all(&cluster, Duration::from_secs(2)).await;
    for vm in &cluster.vms {
        vm.gateway_peers.set_mode(Fault::Cut);
        vm.controller_peers.set_mode(Fault::Cut);
    }
    hammer_all(&cluster, Duration::from_secs(4)).await;
    for vm in &cluster.vms {
        vm.gateway_peers.set_mode(Fault::Pass);
        vm.controller_peers.set_mode(Fault::Pass);
    }
    hammer_all(&cluster, Duration::from_secs(4)).await;
    let used = assert_bound(&cluster).await;
    println!("{used} tokens");
}

/// All of an account's callers are behind one VM and stay within its rate. The shares of the other
/// VMs have to come over; a refusal here is a booking lost for nothing.
#[actix_web::test]
async fn within_rate_at_one_vm() {
    let cluster = Cluster::start(spec(3)).await.unwrap();
    let mut refused = Vec::new();
    let start = Instant::now();
    for n in 0..60_u32 {
        // The gateway charges 2 + 16 + 16 tokens for each of these until they are settled.
        let vm = n / 20 + 1;
        let call = Call::chat(
            cluster.callers(vm),
            cluster.key("courier"),
            "base",
            "hi",
            16,
            true,
        );
        let answer = call.send().await.unwrap();
        if !answer.is_whole() {
            refused.push((n, answer.code().to_owned()));
        }
        let next = start + Duration::from_millis(200) * (n + 1);
        tokio::time::sleep_until(next.into()).await;
    }
    println!("refused {refused:?} of 60");
    assert!(refused.is_empty(), "{refused:?}");
}
