//! Writes that took effect although their reply was lost.

mod support;

use {
    serde_json::json,
    support::{Fleet, account},
};

/// The store carries out an operator's edit and the connection breaks before the answer. An operator
/// who is told that it failed would make the same change twice, or look for a fault that isn't there.
#[actix_web::test]
async fn edit_settled() {
    let fleet = Fleet::start(2).await;
    fleet.fault(json!({"lose_replies": 3})).await;
    let answer = fleet.edit(1, "first", account("clinic")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json["revision"], 1);
    fleet.fault(json!({})).await;

    let again = fleet.edit_from(2, "first", 0, account("clinic")).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.json["revision"], 1, "the same edit, not a second one");
    assert_eq!(fleet.revision(1).await, 1);
}
