//! What an owner tells a gateway of its engines: each change once, and all to one that lost count.

mod support;

use {
    jasmine_core::{clock::Millis, ids::Holder},
    jasmine_testkit::{
        Running,
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
        Fleet, LATER, SOON, first_ops, gateway,
        gateway_calls::{acquire, poll_fleet, poll_upstreams},
    },
};

/// What one answer told: its number, and of each engine the residents.
#[derive(Debug)]
struct News {
    seq: u64,
    engines: Vec<(u32, u32)>,
}

async fn news(
    to: &Link<controller::Client>,
    from: Holder,
    have: u64,
) -> News {
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
        Ok(News {
            seq: res.get_seq(),
            engines: rows.collect::<Result<_, _>>()?,
        })
    });
    asked.await.unwrap()
}

/// An adapter is loaded on one of two engines of an owner. A gateway that follows the owner is told
/// of that engine alone. One that was cut off meanwhile, or followed an earlier run of the
/// controller, comes with a number that means nothing here; were it told only of later changes, it
/// would never learn where the adapter is and its callers would wait for another load.
#[actix_web::test]
async fn told_once() {
    let engines =
        [(); 2].map(|()| engine::start(support::anywhere(), EngineSettings::default()).unwrap());
    let fleet = Fleet::start(1).await;
    let ops = first_ops(&engines.each_ref().map(Running::address));
    let answer = fleet.edit(1, "first", ops).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let (me, at) = (gateway(1), fleet.link(1));
    let look = || async {
        let owners = poll_fleet(&at, me).await.map_err(|e| e.to_string())?;
        match owners.len() {
            2 => Ok(owners),
            _ => Err(format!("{owners:?}")),
        }
    };
    let (_, owners) = poll("both owned", SOON, look).await.unwrap();
    let (loaded, _, fence) = owners[0];

    // Quiet: the first reports have been told.
    let mut have = 0;
    let mut quiet = 0;
    let mut answers = 0;
    while quiet < 3 {
        let told = news(&at, me, have).await;
        quiet = if told.engines.is_empty() {
            quiet + 1
        } else {
            0
        };
        have = told.seq;
        answers += 1;
        assert!(answers < 60, "never quiet: {told:?}");
    }

    let look = || async {
        poll_upstreams(&at, me, (loaded, fence), Vec::new())
            .await
            .map_err(|e| e.to_string())?;
        match acquire(&at, me, 1, loaded, 1).await {
            Ok(got) if got.outcome == AcquireOutcome::Granted => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    poll("a grant", LATER, look).await.unwrap();
    let mut told = news(&at, me, have).await;
    assert_eq!(told.engines, [(loaded, 1)]);
    let bound = std::time::Instant::now() + Duration::from_secs(10);
    while !told.engines.is_empty() {
        assert!(std::time::Instant::now() < bound, "told again: {told:?}");
        told = news(&at, me, told.seq).await;
        assert!(
            told.engines.iter().all(|&row| row == (loaded, 1)),
            "{told:?}"
        );
    }

    for lost_count in [0, 7, told.seq + 1000] {
        let all = news(&at, me, lost_count).await;
        assert_eq!(all.engines.len(), 2, "{all:?}");
        assert!(all.engines.contains(&(loaded, 1)), "{all:?}");
    }
}
