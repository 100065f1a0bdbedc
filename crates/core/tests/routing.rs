//! Routing decisions of a gateway.

use jasmine_core::{
    clock::Millis,
    error::ErrorKind,
    ids::{
        AccountId, AdapterId, AdapterVersion, DataCentreId, Fence, ModelId, ServiceId, UpstreamId,
    },
    ownership::AcquireOutcome,
    placement::Instance,
    routing::{
        EngineView, RequestOutcome, Route, Router, RouterAction, RouterSettings, Target,
        UpstreamSpec, UpstreamSpecKind,
    },
};

const MODEL: ModelId = ModelId(0);
const BASE: Target = Target::Base(MODEL);
const SERVICE: Target = Target::Service(ServiceId(1));
const ACCOUNT: AccountId = AccountId(1);
const ADAPTER: AdapterVersion = AdapterVersion {
    adapter: AdapterId(5),
    version: 2,
};
const NOW: Millis = Millis(50_000);

fn engine() -> UpstreamSpecKind {
    UpstreamSpecKind::Engine {
        model: MODEL,
        slots: 4,
        max_batch: 4,
    }
}

fn router(
    kind: UpstreamSpecKind,
    data_centres: &[u16],
) -> Router {
    let mut router = Router::new(RouterSettings::new(DataCentreId(0)));
    router.set_upstreams(&specs(kind, data_centres, None));
    router
}

fn specs(
    kind: UpstreamSpecKind,
    data_centres: &[u16],
    draining: Option<u32>,
) -> Vec<UpstreamSpec> {
    (0..)
        .zip(data_centres)
        .map(|(upstream, &data_centre)| UpstreamSpec {
            upstream: UpstreamId(upstream),
            data_centre: DataCentreId(data_centre),
            kind,
            is_draining: draining == Some(upstream),
        })
        .collect()
}

fn view(
    upstream: u32,
    running: u32,
) -> EngineView {
    EngineView {
        upstream: UpstreamId(upstream),
        owner_fence: Fence(1),
        running,
        waiting: 0,
        free_slots: 1,
        healthy: true,
        boot: 1,
        resident: Vec::new(),
    }
}

fn sent(
    router: &mut Router,
    target: Target,
    prefix: Option<u64>,
    now: Millis,
) -> Option<u32> {
    match router.route(target, prefix, ACCOUNT, now) {
        Route::Send { upstream, .. } => Some(upstream.0),
        _ => None,
    }
}

fn grant(
    router: &mut Router,
    upstream: UpstreamId,
    ask: u64,
) {
    let instance = Instance {
        upstream,
        adapter: ADAPTER,
        fence: Fence(1),
    };
    let owner = Fence(1);
    let granted = AcquireOutcome::Granted { instance, owner };
    router.handle_acquire_outcome(upstream, ADAPTER, ask, granted, NOW);
}

/// A burst must not go to a single engine because its last report, which lags, showed it idle.
#[test]
fn own_in_flight() {
    let mut router = router(engine(), &[0, 0]);
    router.update_view(view(0, 2), NOW);
    router.update_view(view(1, 0), NOW);
    let to: Vec<_> = (0..4).map(|_| sent(&mut router, BASE, None, NOW)).collect();
    assert_eq!(to[..2], [Some(1), Some(1)]);
    assert_eq!(to[2..].iter().filter(|to| **to == Some(0)).count(), 1);
}

#[test]
fn local_engine_is_preferred() {
    let mut router = router(engine(), &[1, 0]);
    assert_eq!(sent(&mut router, BASE, None, NOW), Some(1));
}

/// Prompts with the same prefix must go to the same engine if the engines are equally loaded.
#[test]
fn prefix_affinity() {
    let mut router = router(engine(), &[0, 0, 0]);
    let first = sent(&mut router, BASE, Some(77), NOW);
    router.finished(
        UpstreamId(first.unwrap_or(0)),
        None,
        RequestOutcome::Done,
        NOW,
    );
    assert_eq!(sent(&mut router, BASE, Some(77), NOW), first);
}

/// An upstream that refuses connections looks idle and must not attract all requests.
#[test]
fn failing_upstream() {
    let mut router = router(SERVICE_KIND, &[0, 1]);
    for _ in 0..3 {
        assert_eq!(sent(&mut router, SERVICE, None, NOW), Some(0));
        router.finished(UpstreamId(0), None, RequestOutcome::Failed, NOW);
    }
    assert_eq!(sent(&mut router, SERVICE, None, NOW), Some(1));
    let later = NOW + Millis(1100);
    assert_eq!(
        sent(&mut router, SERVICE, None, later),
        Some(0),
        "one probe"
    );
    assert_eq!(sent(&mut router, SERVICE, None, later), Some(1));
}

const SERVICE_KIND: UpstreamSpecKind = UpstreamSpecKind::Server {
    service: ServiceId(1),
};

/// Requests must be refused immediately if the only server is draining.
#[test]
fn draining_server_is_refused() {
    let mut router = router(SERVICE_KIND, &[0]);
    router.set_upstreams(&specs(SERVICE_KIND, &[0], Some(0)));
    let Route::Refuse(refusal) = router.route(SERVICE, None, ACCOUNT, NOW) else {
        panic!("a draining server must get no new requests");
    };
    assert_eq!(refusal.kind, ErrorKind::NoUpstream);
    assert!(refusal.retry_after.is_some());
}

/// An adapter whose only copy is busy must get a second copy on another engine.
#[test]
fn busy_adapter_gets_a_second_copy() {
    let mut router = router(engine(), &[0, 0]);
    let target = Target::Adapter(MODEL, ADAPTER);
    let Route::Acquire { upstream, ask } = router.route(target, None, ACCOUNT, NOW) else {
        panic!("expected an acquire request without a grant");
    };
    grant(&mut router, upstream, ask);
    assert_eq!(router.tick(NOW), []);
    for _ in 0..4 {
        assert_eq!(sent(&mut router, target, None, NOW), Some(upstream.0));
    }
    let more = router.tick(NOW);
    let [
        RouterAction::Acquire {
            upstream: second,
            ask,
            ..
        },
    ] = more[..]
    else {
        panic!("expected one request for another copy: {more:?}");
    };
    assert_ne!(second, upstream);
    grant(&mut router, second, ask);
    assert_eq!(sent(&mut router, target, None, NOW), Some(second.0));
}
