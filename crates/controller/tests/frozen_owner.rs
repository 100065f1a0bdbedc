//! Owners that are suspended beyond their lease or partitioned from the store.

mod support;

use {
    jasmine_core::placement::Instance,
    jasmine_testkit::{
        RunningServer,
        client::get_json,
        engine::{self, EngineRecord, EngineSettings},
        harness::poll,
        proxy::Fault,
    },
    jasmine_wire::jasmine_capnp::AcquireOutcome,
    nix::sys::signal::Signal,
    std::time::Duration,
    support::{
        Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
        setup_ops,
    },
};

const ENGINE: u32 = 1;

/// An engine, its owner, and a grant on it for the gateway of VM 2.
struct Fixture {
    engine: RunningServer,
    fleet: Fleet,
    first: u32,
    other: u32,
    old_fence: u64,
    held: Instance,
}

async fn start_with_grant() -> Fixture {
    let engine = engine::start(support::any_local_port(), EngineSettings::default()).unwrap();
    let fleet = Fleet::start(2).await;
    // Engine 0 is in dc-0, which has no VMs, so either VM may own it.
    let answer = fleet.edit(1, "first", setup_ops(&[engine.address()])).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let (me, own) = (gateway(2), fleet.link(2));
    let check = || async {
        let owners = poll_fleet(&own, me).await.map_err(|e| e.to_string())?;
        owners.first().copied().ok_or_else(|| "no owner".to_owned())
    };
    let (_, (_, first, old_fence)) = poll("an owner", REPLY_TIMEOUT, check).await.unwrap();
    let at = fleet.link(first);
    let check = || async {
        poll_upstreams(&at, me, (ENGINE, old_fence), Vec::new())
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 1, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got.instance),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, held) = poll("a grant", LEASE_EXPIRY_TIMEOUT, check).await.unwrap();
    Fixture {
        engine,
        fleet,
        first,
        other: 3 - first,
        old_fence,
        held,
    }
}

impl Fixture {
    /// Waits until the other controller owns the engine and returns its fencing token.
    async fn wait_for_takeover(&self) -> u64 {
        let (me, at) = (gateway(2), self.fleet.link(self.other));
        let check = || async {
            let owners = poll_fleet(&at, me).await.map_err(|e| e.to_string())?;
            match owners.first() {
                Some(&(_, vm, fence)) if vm == self.other && fence > self.old_fence => Ok(fence),
                owner => Err(format!("{owner:?}")),
            }
        };
        let (took, fence) = poll("another owner", LEASE_EXPIRY_TIMEOUT, check)
            .await
            .unwrap();
        println!("engine taken over after {took:?}");
        fence
    }

    /// Repeatedly asks the former owner for an adapter that is not loaded.
    ///
    /// It may only grant it after it has become the owner again.
    async fn check_former_owner(
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

    /// Checks that nothing was unloaded and only one load used the former owner's token.
    async fn check_engine_orders(&self) {
        let record = get_json(self.engine.address(), "/stand-in/record").await;
        let record: EngineRecord = serde_json::from_value(record.unwrap()).unwrap();
        assert_eq!(record.unloads, Vec::<String>::new());
        let stale = format!("-{}", self.old_fence);
        let by_old_fence = record.loads.iter().filter(|name| name.ends_with(&stale));
        assert_eq!(by_old_fence.count(), 1, "{:?}", record.loads);
    }
}

/// Guards against orders from an owner that was suspended beyond its lease and resumes after another
/// controller has taken the engine over.
#[actix_web::test]
async fn resumed_owner_sends_no_stale_orders() {
    let fixture = start_with_grant().await;
    assert!(
        fixture
            .fleet
            .at(fixture.first)
            .daemon
            .signal(Signal::SIGSTOP)
    );
    let new_fence = fixture.wait_for_takeover().await;
    let (me, at) = (gateway(2), fixture.fleet.link(fixture.other));
    let check = || async {
        poll_upstreams(&at, me, (ENGINE, new_fence), vec![fixture.held])
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 2, ENGINE, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(got),
            other => Err(format!("{other:?}")),
        }
    };
    let (_, again) = poll("a grant of the new owner", LEASE_EXPIRY_TIMEOUT, check)
        .await
        .unwrap();
    assert_eq!(again.instance, fixture.held, "what is loaded is kept");
    assert_eq!(again.owner_fence, new_fence);

    assert!(
        fixture
            .fleet
            .at(fixture.first)
            .daemon
            .signal(Signal::SIGCONT)
    );
    fixture.check_former_owner(new_fence).await;
    fixture.fleet.wait_ready(fixture.first).await;
    fixture.check_engine_orders().await;
}

/// Guards against orders from an owner that alone is partitioned from the store and mistakes this for
/// an outage, while another controller takes its engine over.
#[actix_web::test]
async fn cut_off() {
    let fixture = start_with_grant().await;
    let to_platform = &fixture.fleet.at(fixture.first).to_platform;
    to_platform.set_mode(Fault::Cut);
    let new_fence = fixture.wait_for_takeover().await;
    fixture.check_former_owner(new_fence).await;
    fixture.check_engine_orders().await;
    to_platform.set_mode(Fault::Pass);
    fixture.fleet.wait_ready(fixture.first).await;
}
