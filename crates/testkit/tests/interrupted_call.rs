//! Non-idempotent calls interrupted at each stage.

use {
    awc::http::Method,
    jasmine_testkit::{
        client::{Call, post_json},
        harness::{Cluster, ClusterSpec},
        proxy::{Fault, Link},
    },
    serde_json::json,
};

fn enrol(
    cluster: &Cluster,
    vm: u32,
    key: Option<&str>,
) -> Call {
    let path = "/services/phones/phones/17/enrolment";
    let call =
        Call::new(cluster.caller_address(vm), Method::POST, path).key(cluster.key("courier"));
    let call = call.body(json!({"profile": "field"}));
    match key {
        Some(key) => call.header("idempotency-key", key),
        None => call,
    }
}

async fn enrolment_count(cluster: &Cluster) -> usize {
    let calls = cluster.upstreams.served_calls().await;
    calls.iter().filter(|call| call.method == "POST").count()
}

fn proxied() -> ClusterSpec {
    ClusterSpec {
        has_proxied_upstreams: true,
        ..ClusterSpec::default()
    }
}

/// The response of a completed call is lost. The caller must get `outcome_unknown`, and a retry with
/// the same idempotency key at another VM must not reach the service.
#[actix_web::test]
async fn answer_lost() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let server = cluster.upstreams.servers[0].address;
    for key in [None, Some("e-1")] {
        let before = enrolment_count(&cluster).await;
        post_json(server, "/stand-in/fault", json!({"lose_replies": 1}))
            .await
            .unwrap();
        let answer = enrol(&cluster, 1, key).send().await.unwrap();
        assert_eq!(
            answer.json["error"]["execution"], "outcome_unknown",
            "{answer:?}"
        );
        assert_eq!(enrolment_count(&cluster).await, before + 1);
    }
    let again = enrol(&cluster, 2, Some("e-1")).send().await.unwrap();
    println!("repeat at another VM: {} {}", again.status, again.code());
    assert_eq!(
        again.json["error"]["execution"], "outcome_unknown",
        "{again:?}"
    );
    assert_eq!(enrolment_count(&cluster).await, 2);
}

/// The service refuses connections. Guards against reporting `not_run` for a call that ran.
#[actix_web::test]
async fn refused_connection() {
    let cluster = Cluster::start(proxied()).await.unwrap();
    cluster.set_upstream_link_mode(Fault::Refuse);
    let answer = enrol(&cluster, 1, Some("e-2")).send().await.unwrap();
    println!(
        "{} {} {}",
        answer.status,
        answer.code(),
        answer.json["error"]["execution"]
    );
    assert_ne!(answer.status, 200);
    cluster.set_upstream_link_mode(Fault::Pass);
    let said_not_run = answer.json["error"]["execution"] == "not_run";
    assert!(!said_not_run || enrolment_count(&cluster).await == 0);
    if said_not_run {
        let again = enrol(&cluster, 2, Some("e-2")).send().await.unwrap();
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(enrolment_count(&cluster).await, 1);
    }
}

/// The connection breaks during the response. Guards against reporting `not_run` for a completed
/// call.
#[actix_web::test]
async fn cut_midway() {
    let cluster = Cluster::start(proxied()).await.unwrap();
    let link = Link {
        close_after: Some(20),
        ..Link::default()
    };
    cluster.upstreams.servers[0]
        .proxy
        .as_ref()
        .unwrap()
        .set(link);
    let answer = enrol(&cluster, 1, None).send().await.unwrap();
    assert_eq!(
        answer.json["error"]["execution"], "outcome_unknown",
        "{answer:?}"
    );
    assert_eq!(enrolment_count(&cluster).await, 1);
}

/// Concurrent calls with the same idempotency key at two VMs must run once.
#[actix_web::test]
async fn same_key_at_once() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let calls = [1, 2, 1, 2].map(|vm| enrol(&cluster, vm, Some("e-3")));
    let answers = futures::future::join_all(calls.iter().map(Call::send)).await;
    let statuses: Vec<_> = answers
        .iter()
        .map(|answer| answer.as_ref().map_or(0, |a| a.status))
        .collect();
    println!("{statuses:?}");
    assert!(
        statuses.iter().all(|status| [200, 409].contains(status)),
        "{answers:?}"
    );
    assert!(statuses.contains(&200));
    assert_eq!(enrolment_count(&cluster).await, 1);
}

/// During a platform outage idempotency keys can't be recorded: calls with a key must be refused
/// before they reach the service, calls without one must work.
#[actix_web::test]
async fn platform_down() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .set_platform_faults(json!({"outage": true}))
        .await
        .unwrap();
    let refused = enrol(&cluster, 1, Some("e-4")).send().await.unwrap();
    assert_eq!(
        (refused.status, refused.code()),
        (503, "claim_unavailable"),
        "{refused:?}"
    );
    assert_eq!(enrolment_count(&cluster).await, 0);
    let without = enrol(&cluster, 1, None).send().await.unwrap();
    assert_eq!(without.status, 200, "{without:?}");
    cluster.set_platform_faults(json!({})).await.unwrap();
}
