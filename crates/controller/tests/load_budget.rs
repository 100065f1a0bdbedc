//! The weight store's rate limit, shared by the controllers.

mod support;

use {
    futures::future::join_all,
    jasmine_testkit::{
        engine::{self, EngineSettings},
        harness::poll,
    },
    jasmine_wire::jasmine_capnp::AcquireOutcome,
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
        setup_ops,
    },
};

const ENGINE: u32 = 1;

/// Fleet-wide burst of loads, and loads per second.
const BUDGET: (u64, u64) = (6, 2);

/// Guards against a busy controller that can't use the idle controllers' share of the load rate, and
/// against loads above the fleet-wide limit.
#[actix_web::test]
async fn load_rate_moves_to_busy_controller() {
    let cfg = EngineSettings {
        slots: 16,
        ..EngineSettings::default()
    };
    let engine = engine::start(support::any_local_port(), cfg).unwrap();
    let fleet = Fleet::start(2).await;
    let mut ops = setup_ops(&[engine.address()]);
    ops[4]["settings"]["slots"] = json!(16);
    for n in 3..=10 {
        let path = format!("/adapters/notes-{n}");
        let settings = json!({"model": "base", "access": "all"});
        let create = |path: &str, kind: &str, settings| json!({"op": "create", "path": path, "kind": kind, "settings": settings});
        let rows = ops.as_array_mut().unwrap();
        rows.push(create(&path, "adapter", settings));
        let settings = json!({"weights": format!("notes-{n}-v1")});
        rows.push(create(&format!("{path}/1"), "version", settings));
    }
    let answer = fleet.edit(1, "first", ops).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let me = gateway(2);
    let own = fleet.link(2);
    let check = || async {
        let owners = poll_fleet(&own, me).await.map_err(|e| e.to_string())?;
        owners.first().copied().ok_or_else(|| "no owner".to_owned())
    };
    let (_, (_, owner, fence)) = poll("an owner", REPLY_TIMEOUT, check).await.unwrap();
    let check = || async {
        let mut epochs = Vec::new();
        for vm in [1, 2] {
            epochs.push(fleet.metric(vm, "jasmine_rights_epoch").await as u64);
        }
        match epochs[..] {
            [a, b] if a == b && a > 0 => Ok(()),
            _ => Err(format!("{epochs:?}")),
        }
    };
    poll("one epoch", REPLY_TIMEOUT, check).await.unwrap();

    let at = fleet.link(owner);
    let start = Instant::now();
    let mut granted = Vec::new();
    let mut ask = 1;
    while granted.len() < 10 && start.elapsed() < LEASE_EXPIRY_TIMEOUT {
        poll_upstreams(&at, me, (ENGINE, fence), Vec::new())
            .await
            .unwrap();
        let missing =
            (1..=10).filter(|adapter| granted.iter().all(|&(known, _)| known != *adapter));
        let asks: Vec<_> = missing
            .map(|adapter| {
                ask += 1;
                let got = acquire(&at, me, ask, ENGINE, adapter);
                async move { (adapter, got.await.unwrap().outcome, start.elapsed()) }
            })
            .collect();
        for (adapter, outcome, when) in join_all(asks).await {
            if outcome == AcquireOutcome::Granted {
                granted.push((adapter, when));
            }
        }
        granted.sort_by_key(|row| row.1);
    }
    let last = granted.last().map(|row| row.1).unwrap_or_default();
    println!("{} loads in {last:?}", granted.len());
    assert_eq!(granted.len(), 10);
    for (n, (_, when)) in (1..).zip(&granted) {
        let allowed = BUDGET.0 + BUDGET.1 * when.as_millis() as u64 / 1000 + 1;
        assert!(n <= allowed, "{n} loads after {when:?}");
    }
    // Four loads beyond the burst take 2 s at the full rate; half the rate and burst would take 7 s.
    assert!(last < Duration::from_secs(6), "{last:?}");
}
