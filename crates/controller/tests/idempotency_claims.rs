//! Idempotency keys recorded in the store before a call starts.

mod support;

use {
    jasmine_testkit::harness::poll,
    jasmine_wire::jasmine_capnp::ClaimOutcome,
    serde_json::json,
    support::{
        Fleet, REPLY_TIMEOUT,
        gateway_calls::{claim, finish_claim},
    },
};

/// Guards against a second run of a call that is retried at another VM while the first one runs or
/// after it has ended.
#[actix_web::test]
async fn retried_call_does_not_run_twice() {
    let fleet = Fleet::start(2).await;
    let (one, two) = (fleet.link(1), fleet.link(2));
    assert_eq!(claim(&one, b"key", b"print").await.0, ClaimOutcome::Fresh);
    assert_eq!(claim(&two, b"key", b"print").await.0, ClaimOutcome::Running);
    assert_eq!(claim(&one, b"key", b"print").await.0, ClaimOutcome::Running);
    assert_eq!(
        claim(&two, b"key", b"other").await.0,
        ClaimOutcome::Mismatch
    );
    assert!(finish_claim(&two, b"key", b"print", b"enrolled").await);
    let done = (ClaimOutcome::Done, b"enrolled".to_vec());
    assert_eq!(claim(&one, b"key", b"print").await, done);
    assert_eq!(claim(&two, b"key", b"print").await, done);
    assert!(!finish_claim(&one, b"key", b"other", b"late").await);
}

/// Guards against reporting a running call when the store recorded the claim but its reply was lost.
#[actix_web::test]
async fn lost_reply() {
    let fleet = Fleet::start(1).await;
    let to = fleet.link(1);
    assert_eq!(claim(&to, b"before", b"print").await.0, ClaimOutcome::Fresh);
    fleet.fault(json!({"lose_replies": 2})).await;
    assert_eq!(claim(&to, b"key", b"print").await.0, ClaimOutcome::Fresh);
    fleet.fault(json!({})).await;
    assert_eq!(claim(&to, b"key", b"print").await.0, ClaimOutcome::Running);
}

/// Guards against a claim that outlives a call that did not run, which would block retries with the
/// same key.
#[actix_web::test]
async fn claim_of_call_that_did_not_run_is_removed() {
    let fleet = Fleet::start(2).await;
    let (one, two) = (fleet.link(1), fleet.link(2));
    assert_eq!(claim(&one, b"key", b"print").await.0, ClaimOutcome::Fresh);
    assert!(!finish_claim(&one, b"key", b"other", b"").await);
    assert!(finish_claim(&one, b"key", b"print", b"").await);
    assert_eq!(claim(&two, b"key", b"print").await.0, ClaimOutcome::Fresh);
    assert!(finish_claim(&two, b"key", b"print", b"enrolled").await);
    assert!(finish_claim(&two, b"key", b"print", b"").await);
    let done = (ClaimOutcome::Done, b"enrolled".to_vec());
    assert_eq!(claim(&one, b"key", b"print").await, done);
}

/// Guards against starting a call whose claim can't be recorded during a store outage, and against a
/// key that stays unusable afterwards.
#[actix_web::test]
async fn store_out() {
    let fleet = Fleet::start(1).await;
    let to = fleet.link(1);
    fleet.fault(json!({"outage": true})).await;
    assert_eq!(
        claim(&to, b"key", b"print").await.0,
        ClaimOutcome::Unavailable
    );
    fleet.fault(json!({})).await;
    let check = || async {
        match claim(&to, b"key", b"print").await.0 {
            ClaimOutcome::Fresh => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    poll("the key can be claimed", REPLY_TIMEOUT, check)
        .await
        .unwrap();
}
