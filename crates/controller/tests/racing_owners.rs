//! Several controllers that claim the same engines.

mod support;

use {
    jasmine_conf::{
        settings::parse_settings,
        tree::{Edit, EditId, EditLog, Tree},
    },
    jasmine_controller::daemon::ControllerContext,
    jasmine_core::ids::{Revision, UpstreamId},
    jasmine_store::store::LeaseId,
    jasmine_testkit::{
        engine::{self, EngineSettings},
        harness::poll,
    },
    serde_json::json,
    std::rc::Rc,
    support::{Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, setup_ops},
};

/// Starts a controller in this process that holds a lease and knows no other controller.
async fn start_isolated(
    fleet: &Fleet,
    vm: u32,
    engine: std::net::SocketAddr,
) -> Rc<ControllerContext> {
    let store = format!("http://{}", fleet.platform.address());
    let any = support::any_local_port();
    let settings = json!({
        "vm": vm, "data_centre": "dc-1",
        "listen": {"operators": any, "peers": any, "status": any},
        "platform": {"kv": [store], "vms": store},
        "operators": {"token_digests": []},
    });
    let settings = parse_settings("test", &settings.to_string()).unwrap();
    let cx = Rc::new(ControllerContext::new(settings, any));
    let edit = Edit {
        id: EditId::parse("first").unwrap(),
        author: "test".into(),
        base: Revision(0),
        ops: serde_json::from_value(setup_ops(&[engine])).unwrap(),
    };
    let log = EditLog::new(Revision(0));
    let tree = Tree::default().propose(&edit, &log, 0).unwrap().tree;
    cx.config.install(tree, Vec::new());
    let record = cx.registration.record();
    cx.fleet.borrow_mut().members.insert(record.vm, record);
    let session = Rc::clone(&cx.session);
    tokio::task::spawn_local(async move { session.run().await });
    let check = || async {
        cx.session
            .valid_lease()
            .ok_or_else(|| "no lease".to_owned())
    };
    let (_, _lease): (_, LeaseId) = poll("a lease", REPLY_TIMEOUT, check).await.unwrap();
    cx
}

/// Guards against two owners of one engine when two controllers don't know each other yet and both
/// claim it.
#[actix_web::test]
async fn concurrent_claims_have_one_owner() {
    let engine = engine::start(support::any_local_port(), EngineSettings::default()).unwrap();
    let fleet = Fleet::empty();
    let one = start_isolated(&fleet, 1, engine.address()).await;
    let two = start_isolated(&fleet, 2, engine.address()).await;
    let step =
        |cx: Rc<ControllerContext>| async move { cx.assignment.step(cx.session.expiry()).await };
    for _ in 0..2 {
        futures::future::join(step(Rc::clone(&one)), step(Rc::clone(&two))).await;
    }
    let engine = UpstreamId(1);
    let fences = [
        one.engine_owner.fence(engine),
        two.engine_owner.fence(engine),
    ];
    assert_eq!(fences.iter().flatten().count(), 1, "{fences:?}");
}

/// Guards against engines with two owners, or an uneven spread, when controllers start at the same
/// time.
#[actix_web::test]
async fn concurrent_starts_spread_engines() {
    let engines: Vec<_> = (0..6)
        .map(|_| engine::start(support::any_local_port(), EngineSettings::default()).unwrap())
        .collect();
    let addresses: Vec<_> = engines
        .iter()
        .map(jasmine_testkit::RunningServer::address)
        .collect();
    let mut fleet = Fleet::start(1).await;
    let answer = fleet.edit(1, "first", setup_ops(&addresses)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    fleet.add(2);
    fleet.add(3);
    let check = || async {
        let owned = fleet.owned(2).await;
        let (sum, least) = (
            owned.iter().map(|row| row.1).sum::<u64>(),
            owned.iter().map(|row| row.1).min(),
        );
        match (owned.len(), sum, least) {
            // One data centre each, two engines in each.
            (3, 6, Some(2)) => Ok(()),
            _ => Err(format!("{owned:?}")),
        }
    };
    let (took, ()) = poll("each engine has its owner", LEASE_EXPIRY_TIMEOUT, check)
        .await
        .unwrap();
    println!("engines spread after {took:?}");
}

/// Guards against an owner that keeps polling an engine after operators have deleted it.
#[actix_web::test]
async fn deleted_engine_is_released() {
    let engines: Vec<_> = (0..2)
        .map(|_| engine::start(support::any_local_port(), EngineSettings::default()).unwrap())
        .collect();
    let addresses: Vec<_> = engines
        .iter()
        .map(jasmine_testkit::RunningServer::address)
        .collect();
    let fleet = Fleet::start(1).await;
    let answer = fleet.edit(1, "first", setup_ops(&addresses)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let owned = |wanted: u64| {
        let fleet = &fleet;
        move || async move {
            match fleet.owned(1).await.as_slice() {
                [(1, owned)] if *owned == wanted => Ok(()),
                owned => Err(format!("{owned:?}")),
            }
        }
    };
    poll("both owned", REPLY_TIMEOUT, owned(2)).await.unwrap();
    let ops = json!([{"op": "delete", "path": "/upstreams/engine-0"}]);
    let answer = fleet.edit(1, "second", ops).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    poll("one owned", REPLY_TIMEOUT, owned(1)).await.unwrap();
}
