//! Engine updates that an owner sends to gateways.

mod support;

use {
    jasmine_core::{clock::Millis, ids::Holder},
    jasmine_testkit::{
        RunningServer,
        engine::{self, EngineSettings},
        harness::poll,
    },
    jasmine_wire::{
        convert::write_peer,
        jasmine_capnp::{AcquireOutcome, controller},
        link::Link,
    },
    std::time::Duration,
    support::{
        Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
        setup_ops,
    },
};

/// One poll answer: its sequence number, and each engine with its number of resident instances.
#[derive(Debug)]
struct EngineUpdate {
    seq: u64,
    engines: Vec<(u32, u32)>,
}

async fn poll_engine_update(
    to: &Link<controller::Client>,
    from: Holder,
    have: u64,
) -> EngineUpdate {
    let wait = Millis(300);
    let asked = to.call(wait, move |client| async move {
        let mut req = client.poll_upstreams_request();
        write_peer(req.get().init_from(), from);
        req.get().set_have(have);
        req.get().set_wait_ms(wait.0 as u32);
        let res = req.send().promise.await?;
        let res = res.get()?;
        let engines = res.get_engines()?;
        let rows = engines.iter().map(|engine| {
            let resident = engine.get_resident()?.len();
            Ok::<_, capnp::Error>((engine.get_upstream(), resident))
        });
        Ok(EngineUpdate {
            seq: res.get_seq(),
            engines: rows.collect::<Result<_, _>>()?,
        })
    });
    asked.await.unwrap()
}

/// Guards against updates that repeat unchanged engines, and against missing engines for a gateway
/// whose sequence number is unknown to this run of the controller.
#[actix_web::test]
async fn updates_only_changed_engines() {
    let engines = [(); 2]
        .map(|()| engine::start(support::any_local_port(), EngineSettings::default()).unwrap());
    let fleet = Fleet::start(1).await;
    let ops = setup_ops(&engines.each_ref().map(RunningServer::address));
    let answer = fleet.edit(1, "first", ops).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let (me, at) = (gateway(1), fleet.link(1));
    let check = || async {
        let owners = poll_fleet(&at, me).await.map_err(|e| e.to_string())?;
        match owners.len() {
            2 => Ok(owners),
            _ => Err(format!("{owners:?}")),
        }
    };
    let (_, owners) = poll("both owned", REPLY_TIMEOUT, check).await.unwrap();
    let (loaded, _, fence) = owners[0];

    // Wait until the updates for the first reports have been received.
    let mut have = 0;
    let mut quiet = 0;
    let mut answers = 0;
    while quiet < 3 {
        let update = poll_engine_update(&at, me, have).await;
        quiet = if update.engines.is_empty() {
            quiet + 1
        } else {
            0
        };
        have = update.seq;
        answers += 1;
        assert!(answers < 60, "never quiet: {update:?}");
    }

    let check = || async {
        poll_upstreams(&at, me, (loaded, fence), Vec::new())
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 1, loaded, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    poll("a grant", LEASE_EXPIRY_TIMEOUT, check).await.unwrap();
    let mut update = poll_engine_update(&at, me, have).await;
    assert_eq!(update.engines, [(loaded, 1)]);
    let bound = std::time::Instant::now() + Duration::from_secs(10);
    while !update.engines.is_empty() {
        assert!(
            std::time::Instant::now() < bound,
            "repeated update: {update:?}"
        );
        update = poll_engine_update(&at, me, update.seq).await;
        assert!(
            update.engines.iter().all(|&row| row == (loaded, 1)),
            "{update:?}"
        );
    }

    for unknown_seq in [0, 7, update.seq + 1000] {
        let all = poll_engine_update(&at, me, unknown_seq).await;
        assert_eq!(all.engines.len(), 2, "{all:?}");
        assert!(all.engines.contains(&(loaded, 1)), "{all:?}");
    }
}
