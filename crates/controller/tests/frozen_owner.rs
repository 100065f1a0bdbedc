//! An owner that is frozen past its lease, or cut off from the store, and unaware of its successor.

mod support;

use {
    jasmine_core::placement::Instance,
    jasmine_testkit::{
        Running,
        client::get_json,
        engine::{self, EngineRecord, EngineSettings},
        harness::poll,
        proxy::Fault,
    },
    jasmine_wire::jasmine_capnp::AcquireOutcome,
    nix::sys::signal::Signal,
    std::time::Duration,
    support::{
        Fleet, LATER, SOON, first_ops, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
    },
};

const ENGINE: u32 = 1;

/// A gateway of VM 2 with a grant on an engine, and who owns the engine.
struct Scene {
    engine: Running,
    fleet: Fleet,
    first: u32,
    other: u32,
    old_fence: u64,
    held: Instance,
}

async fn granted() -> Scene {
    let engine = engine::start(support::anywhere(), EngineSettings::default()).unwrap();
    let fleet = Fleet::start(2).await;
    // Engine 0 stands in dc-0, where there is no VM, so both VMs may own it.
    let answer = fleet.edit(1, "first", first_ops(&[engine.address()])).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let (me, own) = (gateway(2), fleet.link(2));
    let look = || async {
        let owners = poll_fleet(&own, me).await.map_err(|e| e.to_string())?;
        owners.first().copied().ok_or_else(|| "no owner".to_owned())
    };
    let (_, (_, first, old_fence)) = poll("an owner", SOON, look).await.unwrap();
    let at = fleet.link(first);
    let look = || async {
        poll_upstreams(&at, me, (ENGINE, old_fence), Vec::new())
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 1, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got.instance),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, held) = poll("a grant", LATER, look).await.unwrap();
    Scene {
        engine,
        fleet,
        first,
        other: 3 - first,
        old_fence,
        held,
    }
}

impl Scene {
    /// Waits until the other controller owns the engine: its fencing token.
    async fn taken_over(&self) -> u64 {
        let (me, at) = (gateway(2), self.fleet.link(self.other));
        let look = || async {
            let owners = poll_fleet(&at, me).await.map_err(|e| e.to_string())?;
            match owners.first() {
                Some(&(_, vm, fence)) if vm == self.other && fence > self.old_fence => Ok(fence),
                owner => Err(format!("{owner:?}")),
            }
        };
        let (took, fence) = poll("another owner", LATER, look).await.unwrap();
        println!("engine taken over after {took:?}");
        fence
    }

    /// Asks the former owner for a cold adapter again and again; it may grant only as an owner anew.
    async fn ask_former(
        &self,
        new_fence: u64,
    ) {
        let (me, at) = (gateway(2), self.fleet.link(self.first));
        for ask in 3..9 {
            match acquire(&at, me, ask, ENGINE, 2).await {
                Ok(got) if got.outcome == AcquireOutcome::Granted => {
                    assert!(got.owner_fence > new_fence, "{got:?}");
                }
                Ok(_) => {}
                Err(e) => panic!("{e}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Nothing was unloaded, and one load was made under the former owner's token.
    async fn engine_unharmed(&self) {
        let record = get_json(self.engine.address(), "/stand-in/record").await;
        let record: EngineRecord = serde_json::from_value(record.unwrap()).unwrap();
        assert_eq!(record.unloads, Vec::<String>::new());
        let stale = format!("-{}", self.old_fence);
        let by_old_fence = record.loads.iter().filter(|name| name.ends_with(&stale));
        assert_eq!(by_old_fence.count(), 1, "{:?}", record.loads);
    }
}

/// The controller that owns an engine is frozen for longer than its lease. Another takes the engine
/// over, and a gateway goes on with what is loaded there. When the first thaws it still believes
/// itself the owner; an unload of its would cut callers' streams, a load would push out adapters in use.
#[actix_web::test]
async fn thaws_unaware() {
    let scene = granted().await;
    assert!(scene.fleet.at(scene.first).daemon.signal(Signal::SIGSTOP));
    let new_fence = scene.taken_over().await;
    let (me, at) = (gateway(2), scene.fleet.link(scene.other));
    let look = || async {
        poll_upstreams(&at, me, (ENGINE, new_fence), vec![scene.held])
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 2, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, again) = poll("a grant of the new owner", LATER, look).await.unwrap();
    assert_eq!(again.instance, scene.held, "what is loaded is kept");
    assert_eq!(again.owner_fence, new_fence);

    assert!(scene.fleet.at(scene.first).daemon.signal(Signal::SIGCONT));
    scene.ask_former(new_fence).await;
    scene.fleet.wait_ready(scene.first).await;
    scene.engine_unharmed().await;
}

/// The owner alone is cut off from the store, which to it looks like an outage, and goes on serving.
/// The others take its engine over. Orders of both would undo each other's loads.
#[actix_web::test]
async fn cut_off() {
    let scene = granted().await;
    let to_platform = &scene.fleet.at(scene.first).to_platform;
    to_platform.set_mode(Fault::Cut);
    let new_fence = scene.taken_over().await;
    scene.ask_former(new_fence).await;
    scene.engine_unharmed().await;
    to_platform.set_mode(Fault::Pass);
    scene.fleet.wait_ready(scene.first).await;
}
