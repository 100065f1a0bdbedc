//! Operators' HTTP API: tokens, edits, queries and the error format.

#[expect(dead_code, reason = "the command line tests use the other helpers")]
mod fake_controller;

use {
    awc::{Client, http::StatusCode},
    fake_controller::{FakeController, TOKEN, serve},
    serde_json::{Value, json},
    std::net::SocketAddr,
};

async fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    token: Option<&str>,
    body: Vec<u8>,
) -> (StatusCode, Value) {
    let method = method.parse().unwrap();
    let mut req = Client::default().request(method, format!("http://{at}{path}"));
    if let Some(token) = token {
        req = req.bearer_auth(token);
    }
    let mut res = req.send_body(body).await.unwrap();
    let body = res.body().limit(8 << 20).await.unwrap();
    let mut json: Value = serde_json::from_slice(&body).unwrap();
    json["header_id"] = json!(res.headers().get("x-request-id").unwrap().to_str().unwrap());
    (res.status(), json)
}

async fn get(
    at: SocketAddr,
    path: &str,
) -> (StatusCode, Value) {
    call(at, "GET", path, Some(TOKEN), Vec::new()).await
}

async fn post(
    at: SocketAddr,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    call(at, "POST", path, Some(TOKEN), body.to_string().into_bytes()).await
}

fn edit(
    id: &str,
    base: u64,
    ops: &Value,
) -> Value {
    json!({"id": id, "author": "ana", "base": base, "ops": ops})
}

fn account(name: &str) -> Value {
    json!([{"op": "create", "path": format!("/accounts/{name}"), "kind": "account", "settings": {"rate": 70}}])
}

#[actix::test]
async fn an_edit_is_accepted_and_read_back() {
    let at = serve(FakeController::default());
    let (status, answer) = post(at, "/v1/edits", &edit("e1", 0, &account("farm"))).await;
    assert_eq!((status, &answer["revision"]), (StatusCode::OK, &json!(1)));
    let (_, page) = get(at, "/v1/tree?path=/accounts&depth=1").await;
    assert_eq!(page["nodes"][1]["path"], "/accounts/farm");
    assert_eq!(page["nodes"][1]["settings"], json!({"rate": 70}));
    let (_, why) = get(at, "/v1/explain?path=/accounts/farm&setting=rate").await;
    assert_eq!(why["from"], "/accounts/farm");
    let (_, history) = get(at, "/v1/history?path=/accounts").await;
    assert_eq!(history["edits"][0]["edit"]["id"], "e1");
    let (_, one) = get(at, "/v1/edits/e1").await;
    assert_eq!(one["revision"], 1);
    let (_, fleet) = get(at, "/v1/fleet").await;
    assert_eq!(
        fleet["vms"][0]["gateway"],
        json!({"state": "up", "revision": 1})
    );
}

#[actix::test]
async fn a_dry_run_writes_nothing() {
    let at = serve(FakeController::default());
    let wished = edit("e1", 0, &account("farm"));
    let (status, answer) = post(at, "/v1/edits?dry_run=true", &wished).await;
    assert_eq!((status, &answer["dry_run"]), (StatusCode::OK, &json!(true)));
    let (_, page) = get(at, "/v1/tree").await;
    assert_eq!(page["revision"], 0);
}

#[actix::test]
async fn tree_is_paginated() {
    let at = serve(FakeController::default());
    let mut seen = Vec::new();
    let mut after = String::new();
    for _ in 0..10 {
        let (_, page) = get(at, &format!("/v1/tree?limit=2{after}")).await;
        let nodes = page["nodes"].as_array().unwrap().clone();
        seen.extend(
            nodes
                .iter()
                .map(|node| node["path"].as_str().unwrap().to_owned()),
        );
        match page["next"].as_str() {
            Some(next) => after = format!("&after={next}"),
            None => break,
        }
    }
    assert_eq!(
        seen,
        [
            "/",
            "/accounts",
            "/adapters",
            "/data-centres",
            "/models",
            "/services",
            "/upstreams"
        ]
    );
}

#[actix::test]
async fn missing_and_wrong_tokens_are_rejected() {
    // Guards against disclosure to clients without a valid token.
    let at = serve(FakeController::default());
    for (token, code) in [(None, "key_missing"), (Some("guess"), "key_unknown")] {
        for path in ["/v1/tree", "/v1/fleet", "/no/such/route"] {
            let (status, body) = call(at, "GET", path, token, Vec::new()).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED);
            assert_eq!(body["error"]["code"], code);
            assert_eq!(body["error"]["request_id"], body["header_id"]);
        }
    }
}

#[actix::test]
async fn conflicting_edit_receives_the_conflicts() {
    // Guards against lost updates when two operators change the same setting from one revision.
    let at = serve(FakeController::default());
    post(at, "/v1/edits", &edit("e1", 0, &account("farm"))).await;
    let set =
        |rate| json!([{"op": "set", "path": "/accounts/farm", "setting": "rate", "value": rate}]);
    post(at, "/v1/edits", &edit("e2", 1, &set(80))).await;
    let (status, body) = post(at, "/v1/edits", &edit("e3", 1, &set(90))).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(body["error"]["code"], "edit_conflict");
    assert_eq!(body["error"]["conflicts"][0]["edit"], "e2");
    assert_eq!(body["error"]["conflicts"][0]["theirs"]["value"], 80);
    let (status, _) = post(at, "/v1/edits", &edit("e4", 1, &account("shop"))).await;
    assert_eq!(status, StatusCode::OK);
}

#[actix::test]
async fn retried_edit_is_applied_once() {
    // Guards against applying an edit twice when it is retried after a lost reply.
    let at = serve(FakeController::default().with_lost_replies(1));
    let wished = edit("e1", 0, &account("farm"));
    let (status, body) = post(at, "/v1/edits", &wished).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(body["error"]["execution"], "outcome_unknown");
    let (status, answer) = post(at, "/v1/edits", &wished).await;
    assert_eq!((status, &answer["revision"]), (StatusCode::OK, &json!(1)));
}

#[actix::test]
async fn progress_counts_a_silent_gateway_as_lacking_the_edit() {
    // Guards against reporting a revoked key as revoked everywhere while an unreachable gateway may
    // still use the old settings.
    let at = serve(FakeController::default());
    post(at, "/v1/edits", &edit("e1", 0, &account("farm"))).await;
    let (_, progress) = get(at, "/v1/fleet/edit/e1").await;
    assert_eq!(progress["everywhere"], false);
    assert_eq!(progress["vms"][1]["in_force"], false);
    let (_, progress) = get(at, "/v1/fleet/edit/e1").await;
    assert_eq!(progress["everywhere"], true);
}

#[actix::test]
async fn invalid_input_returns_a_specific_error() {
    let at = serve(FakeController::default());
    let rows = [
        ("GET", "/v1/tree?path=nowhere", "", 400, "bad_request"),
        ("GET", "/v1/tree?path=/accounts/none", "", 404, "not_found"),
        ("GET", "/v1/tree?pat=/accounts", "", 400, "bad_request"),
        (
            "GET",
            "/v1/explain?path=/accounts&setting=colour",
            "",
            400,
            "bad_request",
        ),
        ("GET", "/v1/edits/none", "", 404, "not_found"),
        ("GET", "/v1/none", "", 404, "not_found"),
        ("POST", "/v1/edits", "{", 400, "bad_request"),
        (
            "POST",
            "/v1/edits",
            r#"{"id":"a","author":"b","base":0,"ops":[]}"#,
            422,
            "edit_invalid",
        ),
        (
            "POST",
            "/v1/edits",
            r#"{"id":"a","author":"b","base":7,"ops":[{"op":"delete","path":"/accounts/x"}]}"#,
            503,
            "config_unavailable",
        ),
        (
            "POST",
            "/v1/edits",
            r#"{"id":"a","author":"b","base":0,"ops":[{"op":"set","path":"/accounts","setting":"rate","value":-1}]}"#,
            400,
            "bad_request",
        ),
    ];
    for (method, path, body, status, code) in rows {
        let (found, answer) = call(at, method, path, Some(TOKEN), body.into()).await;
        assert_eq!(
            (found.as_u16(), &answer["error"]["code"]),
            (status, &json!(code)),
            "{method} {path} {body}: {answer}"
        );
    }
    let huge = vec![b' '; 2_000_000];
    let (status, answer) = call(at, "POST", "/v1/edits", Some(TOKEN), huge).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{answer}");
}
