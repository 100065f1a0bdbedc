//! Idempotency keys, recorded in the store before a call is begun.

mod support;

use {
    jasmine_testkit::harness::poll,
    jasmine_wire::jasmine_capnp::ClaimOutcome,
    serde_json::json,
    support::{
        Fleet, SOON,
        gateway_calls::{claim, finish_claim},
    },
};

/// A caller who had no answer repeats its call at another VM, while the first still runs or after it
/// has ended. Run twice, an enrolment wipes a phone that is in use.
#[actix_web::test]
async fn seen_everywhere() {
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

/// The store records a claim and its reply is lost. A caller told that its call is running already
/// would wait for an answer that nobody is working on.
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

/// No server could be reached, so the call did not run and its caller was told so. When the caller comes
/// again with the same key it would be told that a call is running, for as long as claims are kept.
#[actix_web::test]
async fn given_back() {
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

/// The store is out, so nothing can be recorded. The call is refused before it begins, and the same
/// key is good once the store is back.
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
    let look = || async {
        match claim(&to, b"key", b"print").await.0 {
            ClaimOutcome::Fresh => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    poll("the key is good", SOON, look).await.unwrap();
}
