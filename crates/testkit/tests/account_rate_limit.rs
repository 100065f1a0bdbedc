//! Fleet-wide rate limits of accounts, checked against the engines' request records.

use {
    jasmine_testkit::{
        client::Call,
        engine::RequestRecord,
        harness::{AccountSpec, Cluster, ClusterSpec},
        proxy::Fault,
    },
    std::time::{Duration, Instant},
};

/// The account's rate in tokens per second.
const RATE: u64 = 200;
/// The account's burst in tokens.
const BURST: u64 = 2000;

/// Longest delay between a request's admission and its start at the engine, in milliseconds.
const MAX_QUEUE_DELAY_MS: u64 = 1000;

fn spec(vms: u32) -> ClusterSpec {
    ClusterSpec {
        vms,
        accounts: vec![AccountSpec::new("courier", RATE, BURST)],
        ..ClusterSpec::default()
    }
}

/// Sends to one VM without pause; returns the numbers of complete and rate-limited responses.
async fn overload(
    cluster: &Cluster,
    vm: u32,
    deadline: Instant,
) -> (u32, u32) {
    let (mut whole, mut refused) = (0, 0);
    while Instant::now() < deadline {
        let Some(gateway) = cluster.vms[vm as usize - 1].gateway.as_ref() else {
            break;
        };
        let to = gateway.port("callers");
        match Call::chat(to, cluster.key("courier"), "base", "hi", 16, true)
            .send()
            .await
        {
            Ok(answer) if answer.is_complete() => whole += 1,
            Ok(answer) if answer.code() == "rate_limited" => refused += 1,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    (whole, refused)
}

async fn overload_all(
    cluster: &Cluster,
    run: Duration,
) -> (u32, u32) {
    let deadline = Instant::now() + run;
    let vm_numbers = cluster.vms.iter().flat_map(|vm| [vm.number; 4]);
    let counts =
        futures::future::join_all(vm_numbers.map(|vm| overload(cluster, vm, deadline))).await;
    counts
        .iter()
        .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Asserts that usage in every window is at most burst + rate * window; returns the total usage.
async fn assert_bound(cluster: &Cluster) -> u64 {
    let records = cluster.upstreams.engine_records().await;
    let mut rows: Vec<_> = records.iter().flat_map(|record| &record.requests).collect();
    rows.sort_by_key(|row| row.start_ms);
    let cost = |row: &RequestRecord| u64::from(row.prompt_tokens + row.tokens);
    for (first, from) in rows.iter().enumerate() {
        let mut used = 0;
        for to in &rows[first..] {
            used += cost(to);
            let window = to.start_ms - from.start_ms + MAX_QUEUE_DELAY_MS;
            let allowed = BURST + RATE * window / 1000;
            assert!(
                used <= allowed,
                "{used} tokens in {window} ms, allowed {allowed}"
            );
        }
    }
    rows.into_iter().map(cost).sum()
}

/// An account exceeds its rate at every VM. Guards against each VM admitting the whole rate.
#[actix_web::test]
async fn overload_at_all_vms() {
    let cluster = Cluster::start(spec(3)).await.unwrap();
    let (whole, refused) = overload_all(&cluster, Duration::from_secs(6)).await;
    let used = assert_bound(&cluster).await;
    println!(
        "{whole} whole, {refused} refused, {used} tokens of {}",
        BURST + 6 * RATE
    );
    assert!(refused > 0);
    // At least half of the allowed tokens must be admitted.
    assert!(used * 10 >= (BURST + 6 * RATE) * 5, "{used}");
}

/// A gateway is restarted repeatedly under overload. Guards against a fresh burst for each restart.
#[actix_web::test]
async fn restarts_give_no_fresh_burst() {
    let mut cluster = Cluster::start(spec(2)).await.unwrap();
    for _ in 0..3 {
        overload_all(&cluster, Duration::from_secs(2)).await;
        cluster.vms[0].gateway.take().unwrap().kill();
        overload_all(&cluster, Duration::from_secs(1)).await;
        cluster.vms[0].start_gateway().unwrap();
    }
    overload_all(&cluster, Duration::from_secs(3)).await;
    let used = assert_bound(&cluster).await;
    println!("{used} tokens");
}

/// VMs are partitioned under overload. Guards against one VM using the share of an unreachable one.
#[actix_web::test]
async fn partitioned_vms_keep_to_their_shares() {
    let cluster = Cluster::start(spec(2)).await.unwrap();
    overload_all(&cluster, Duration::from_secs(2)).await;
    for vm in &cluster.vms {
        vm.gateway_peer_link.set_mode(Fault::Cut);
        vm.controller_peer_link.set_mode(Fault::Cut);
    }
    overload_all(&cluster, Duration::from_secs(4)).await;
    for vm in &cluster.vms {
        vm.gateway_peer_link.set_mode(Fault::Pass);
        vm.controller_peer_link.set_mode(Fault::Pass);
    }
    overload_all(&cluster, Duration::from_secs(4)).await;
    let used = assert_bound(&cluster).await;
    println!("{used} tokens");
}

/// All requests of an account go to one VM at a time, within its rate. The VM must get the other
/// VMs' shares instead of refusing requests.
#[actix_web::test]
async fn within_rate_at_one_vm() {
    let cluster = Cluster::start(spec(3)).await.unwrap();
    let mut refused = Vec::new();
    let start = Instant::now();
    for n in 0..60_u32 {
        // Each request is charged 2 + 16 + 16 tokens until it is settled.
        let vm = n / 20 + 1;
        let call = Call::chat(
            cluster.caller_address(vm),
            cluster.key("courier"),
            "base",
            "hi",
            16,
            true,
        );
        let answer = call.send().await.unwrap();
        if !answer.is_complete() {
            refused.push((n, answer.code().to_owned()));
        }
        let next = start + Duration::from_millis(200) * (n + 1);
        tokio::time::sleep_until(next.into()).await;
    }
    println!("refused {refused:?} of 60");
    assert!(refused.is_empty(), "{refused:?}");
}
