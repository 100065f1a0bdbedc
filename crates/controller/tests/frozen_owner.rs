//! An owner that is frozen past its lease and thaws unaware.

mod support;

use {
    jasmine_testkit::{
        client::get_json,
        engine::{self, EngineRecord, EngineSettings},
        harness::poll,
    },
    jasmine_wire::jasmine_capnp::AcquireOutcome,
    nix::sys::signal::Signal,
    support::{
        Fleet, LATER, SOON, first_ops, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
    },
};

const ENGINE: u32 = 1;

/// The controller that owns an engine is frozen for longer than its lease. Another takes the engine
/// over, and a gateway goes on with what is loaded there. When the first thaws it still believes
/// itself the owner; an unload of its would cut callers' streams, a load would push out adapters in use.
#[actix_web::test]
async fn thaws_unaware() {
    let engine = engine::start(support::anywhere(), EngineSettings::default()).unwrap();
    let fleet = Fleet::start(2).await;
    // Engine 0 stands in dc-0, where there is no VM, so both VMs may own it.
    let answer = fleet.edit(1, "first", first_ops(&[engine.address()])).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let me = gateway(2);
    let own = fleet.link(2);
    let look = || async {
        let owners = poll_fleet(&own, me).await.map_err(|e| e.to_string())?;
        owners.first().copied().ok_or_else(|| "no owner".to_owned())
    };
    let (_, (_, first, old_fence)) = poll("an owner", SOON, look).await.unwrap();
    let other = 3 - first;
    let look = || async {
        let at = fleet.link(first);
        poll_upstreams(&at, me, (ENGINE, old_fence), Vec::new())
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 1, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got.instance),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, held) = poll("a grant", LATER, look).await.unwrap();

    assert!(fleet.at(first).daemon.signal(Signal::SIGSTOP));
    let at = fleet.link(other);
    let look = || async {
        let owners = poll_fleet(&at, me).await.map_err(|e| e.to_string())?;
        match owners.first() {
            Some(&(_, vm, fence)) if vm == other && fence > old_fence => Ok(fence),
            owner => Err(format!("{owner:?}")),
        }
    };
    let (took, new_fence) = poll("another owner", LATER, look).await.unwrap();
    println!("engine taken over after {took:?}");
    let look = || async {
        poll_upstreams(&at, me, (ENGINE, new_fence), vec![held])
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 2, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, again) = poll("a grant of the new owner", LATER, look).await.unwrap();
    assert_eq!(again.instance, held, "what is loaded is kept");
    assert_eq!(again.owner_fence, new_fence);

    let thawed = fleet.link(first);
    assert!(fleet.at(first).daemon.signal(Signal::SIGCONT));
    for ask in 3..20 {
        match acquire(&thawed, me, ask, ENGINE, 2).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => {
                assert!(got.owner_fence > new_fence, "{got:?}");
            }
            Ok(_) => {}
            Err(e) => panic!("{e}"),
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    fleet.wait_ready(first).await;
    let record = get_json(engine.address(), "/stand-in/record")
        .await
        .unwrap();
    let record: EngineRecord = serde_json::from_value(record).unwrap();
    assert_eq!(record.unloads, Vec::<String>::new());
    let stale = format!("-{old_fence}");
    let by_old_fence = record.loads.iter().filter(|name| name.ends_with(&stale));
    assert_eq!(by_old_fence.count(), 1, "{:?}", record.loads);
}
