//! Store writes that took effect although their reply was lost.

mod support;

use {
    serde_json::json,
    support::{Fleet, account},
};

/// Guards against reporting a written edit as failed, and against applying it twice on a retry.
#[actix_web::test]
async fn lost_reply_does_not_fail_or_repeat_edit() {
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
