//! Measures CPU time, memory and network traffic of the daemons, idle and under light load, for a
//! given number of VMs, engines and adapters. Run with --release.
//!
//! `control_cost <vms> <engines> <adapters> <seconds>`

use {
    futures::{StreamExt, stream::FuturesUnordered},
    jasmine_core::clock::Millis,
    jasmine_testkit::{
        client::{Call, get_json},
        harness::{AccountSpec, Cluster, ClusterSpec, Daemon, Vm},
        proxy::{Proxy, TransferredBytes},
    },
    serde_json::{Value, json},
    std::{
        env,
        error::Error,
        time::{Duration, Instant},
    },
};

/// How long to wait for start-up traffic to end before measuring.
const SETTLE_DELAY: Duration = Duration::from_secs(5);

/// Interval between two requests to a VM under load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of adapters requested by the load.
const MAX_REQUESTED_ADAPTERS: usize = 12;

/// Totals over all VMs since they started.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    gateway_cpu_ms: u64,
    controller_cpu_ms: u64,
    own_controller: TransferredBytes,
    controllers: TransferredBytes,
    gateways: TransferredBytes,
    platform: TransferredBytes,
    platform_calls: u64,
}

fn add_passed(
    sum: &mut TransferredBytes,
    proxy: &Proxy,
) {
    let passed = proxy.transferred_bytes();
    sum.to_target += passed.to_target;
    sum.to_client += passed.to_client;
}

async fn totals(cluster: &Cluster) -> Result<Totals, Box<dyn Error>> {
    let calls = get_json(cluster.platform.address(), "/stand-in/calls").await?;
    let mut totals = Totals {
        platform_calls: sum(&calls),
        ..Totals::default()
    };
    for vm in &cluster.vms {
        totals.gateway_cpu_ms += vm.gateway.as_ref().map_or(0, Daemon::cpu_ms);
        totals.controller_cpu_ms += vm.controller.as_ref().map_or(0, Daemon::cpu_ms);
        add_passed(&mut totals.own_controller, &vm.controller_link);
        add_passed(&mut totals.controllers, &vm.controller_peer_link);
        add_passed(&mut totals.gateways, &vm.gateway_peer_link);
        add_passed(&mut totals.platform, &vm.platform_link);
    }
    Ok(totals)
}

/// Sums all numbers of a JSON document.
fn sum(value: &Value) -> u64 {
    match value {
        Value::Number(n) => n.as_u64().unwrap_or(0),
        Value::Array(items) => items.iter().map(sum).sum(),
        Value::Object(items) => items.values().map(sum).sum(),
        _ => 0,
    }
}

/// Requests adapters in turn from one VM; returns the numbers of complete responses and requests.
async fn send_requests(
    cluster: &Cluster,
    vm: u32,
    until: Instant,
) -> (u64, u64) {
    let adapters = MAX_REQUESTED_ADAPTERS.min(cluster.spec().adapters as usize);
    let key = cluster.key("clinic");
    let (mut whole, mut sent) = (0, 0);
    while Instant::now() < until {
        let adapter = format!("notes-{}", (sent as usize + vm as usize) % adapters + 1);
        let next = Instant::now() + REQUEST_INTERVAL;
        let call = Call::chat(cluster.caller_address(vm), key, &adapter, "hi", 8, true);
        sent += 1;
        whole += u64::from(call.send().await.is_ok_and(|answer| answer.is_complete()));
        tokio::time::sleep_until(next.into()).await;
    }
    (whole, sent)
}

/// Measures for `span`, idle or under load; rates are per VM and second.
async fn measure(
    cluster: &Cluster,
    span: Duration,
    with_load: bool,
) -> Result<Value, Box<dyn Error>> {
    let before = totals(cluster).await?;
    let start = Instant::now();
    let (mut whole, mut sent) = (0, 0);
    if with_load {
        let vms = cluster.vms.iter().map(|vm| vm.number);
        let mut callers: FuturesUnordered<_> = vms
            .map(|vm| send_requests(cluster, vm, start + span))
            .collect();
        while let Some((vm_whole, vm_sent)) = callers.next().await {
            whole += vm_whole;
            sent += vm_sent;
        }
    } else {
        tokio::time::sleep(span).await;
    }
    let after = totals(cluster).await?;
    let secs = start.elapsed().as_secs_f64();
    let vms = cluster.vms.len() as f64;
    let rate = |after: u64, before: u64| (after - before) as f64 / secs / vms;
    let percent = |after, before| (rate(after, before) * 10.0).round() / 100.0;
    let bytes = |after: TransferredBytes, before: TransferredBytes| {
        [
            rate(after.to_target, before.to_target).round(),
            rate(after.to_client, before.to_client).round(),
        ]
    };
    let memory = |of: fn(&Vm) -> &Option<Daemon>| {
        let daemons = cluster.vms.iter().filter_map(|vm| of(vm).as_ref());
        daemons.map(Daemon::resident_kib).max().unwrap_or(0) as f64 / 1024.0
    };
    Ok(json!({
        "gateway_cpu_percent": percent(after.gateway_cpu_ms, before.gateway_cpu_ms),
        "controller_cpu_percent": percent(after.controller_cpu_ms, before.controller_cpu_ms),
        "gateway_mib": memory(|vm| &vm.gateway).round(),
        "controller_mib": memory(|vm| &vm.controller).round(),
        "own_controller": bytes(after.own_controller, before.own_controller),
        "controllers": bytes(after.controllers, before.controllers),
        "gateways": bytes(after.gateways, before.gateways),
        "platform": bytes(after.platform, before.platform),
        "platform_calls_a_vm": rate(after.platform_calls, before.platform_calls),
        "whole": whole,
        "asked": sent,
    }))
}

async fn run(args: &[u64]) -> Result<(), Box<dyn Error>> {
    let &[vms, engines, adapters, seconds] = args else {
        return Err("usage: control_cost <vms> <engines> <adapters> <seconds>".into());
    };
    let spec = ClusterSpec {
        vms: vms as u32,
        engines: engines as u32,
        adapters: adapters as u32,
        accounts: vec![AccountSpec::new("clinic", 1_000_000, 2_000_000)],
        lease: Millis(5000),
        ..ClusterSpec::demo()
    };
    let cluster = Cluster::start(spec).await?;
    tokio::time::sleep(SETTLE_DELAY).await;
    let span = Duration::from_secs(seconds);
    let idle = measure(&cluster, span, false).await?;
    let load = measure(&cluster, span, true).await?;
    println!("{vms} VMs, {engines} engines, {adapters} adapters, {seconds} s each");
    println!("CPU: percent of a core; memory: maximum; bytes per second and VM: [in, out]");
    println!("of the listening side; `controllers`: all traffic from peers and to engine owners");
    println!("{:<24} {:>22} {:>22}", "", "idle", "light load");
    for (name, idle) in idle.as_object().into_iter().flatten() {
        println!(
            "{name:<24} {:>22} {:>22}",
            format_value(idle),
            format_value(&load[name])
        );
    }
    let size = [vms, engines, adapters];
    println!("{}", json!({"size": size, "idle": idle, "load": load}));
    Ok(())
}

fn format_value(value: &Value) -> String {
    value
        .as_f64()
        .map_or_else(|| value.to_string(), |value| format!("{value:.2}"))
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<u64> = env::args()
        .skip(1)
        .map(|arg| arg.parse())
        .collect::<Result<_, _>>()?;
    actix_web::rt::System::new().block_on(run(&args))
}
