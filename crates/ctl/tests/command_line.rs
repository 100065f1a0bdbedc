//! Runs `jasminectl` against fake controllers.

mod ctl_runner;
#[path = "../../controller/tests/fake_controller/mod.rs"]
mod fake_controller;

use {
    ctl_runner::Ctl,
    fake_controller::{FakeController, TOKEN, serve},
    jasmine_conf::fleet::{KEY_PREFIX, KeyDigest},
    jasmine_testkit::proxy::{Proxy, Rewrite},
    serde_json::json,
    std::{fs, net::SocketAddr},
    tokio::net::TcpSocket,
};

/// Starts a fake controller and returns a runner for it.
fn start_controller(fake: FakeController) -> Ctl {
    Ctl::at(&[serve(fake)], TOKEN)
}

async fn sample_tree() -> Ctl {
    let ctl = start_controller(FakeController::default());
    ctl.ok("create /models/base model").await;
    ctl.ok("create /accounts/clinics group rate=500").await;
    ctl.ok("create /accounts/clinics/san-juan account burst=900")
        .await;
    ctl.ok("create /adapters/enrolment adapter model=base access=san-juan")
        .await;
    ctl
}

/// Binds a port without listening on it.
///
/// The bound socket keeps controllers of other tests from getting the port.
fn bind_without_listening() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

#[actix::test]
async fn explain_names_the_level_a_value_comes_from() {
    let ctl = sample_tree().await;
    let ran = ctl.ok("explain /accounts/clinics/san-juan rate").await;
    assert!(
        ran.out
            .contains("rate of /accounts/clinics/san-juan is 500, from /accounts/clinics"),
        "{ran:?}"
    );
    ctl.ok("set /accounts/clinics/san-juan rate=70").await;
    ctl.ok("unset /accounts/clinics/san-juan rate").await;
    let ran = ctl
        .ok("show /accounts/clinics/san-juan -o json")
        .await
        .json();
    let rate = &ran["values"].as_array().unwrap()[0];
    assert_eq!(
        (&rate["value"], &rate["from"]),
        (&json!(500), &json!("/accounts/clinics"))
    );
    let listed = ctl.ok("list /accounts").await;
    assert!(listed.out.contains("burst=900"), "{listed:?}");
}

#[actix::test]
async fn a_key_is_shown_once_and_withdrawn() {
    let ctl = sample_tree().await;
    let issued = ctl.ok("key issue /accounts/clinics/san-juan phones").await;
    let key = issued.out.lines().next().unwrap();
    assert!(key.starts_with(KEY_PREFIX) && key.len() > 40, "{key}");
    let digest = String::from(KeyDigest::of(key));
    let listed = ctl.ok("list /accounts -o json").await;
    assert!(listed.out.contains(&digest) && !listed.out.contains(key));
    ctl.ok("key withdraw /accounts/clinics/san-juan/phones")
        .await;
    let back = ctl
        .run("set /accounts/clinics/san-juan/phones withdrawn=false")
        .await;
    assert_eq!(back.code, 3, "{back:?}");
    let everything = ctl.ok("history -o json").await;
    assert!(!everything.out.contains(key));
}

#[actix::test]
async fn a_version_is_rolled_out_and_back() {
    let ctl = sample_tree().await;
    ctl.ok("adapter add-version /adapters/enrolment v1 --live")
        .await;
    ctl.ok("adapter add-version /adapters/enrolment v2").await;
    ctl.ok("adapter live /adapters/enrolment 2").await;
    ctl.ok("adapter rollback /adapters/enrolment").await;
    let ran = ctl
        .ok("explain /adapters/enrolment live -o json")
        .await
        .json();
    assert_eq!(ran["value"], 1);
    ctl.ok("delete /adapters/enrolment/2").await;
    let ran = ctl.run("adapter rollback /adapters/enrolment").await;
    assert_eq!(ran.code, 3, "{ran:?}");
    ctl.ok("adapter add-version /adapters/enrolment v3").await;
    let listed = ctl.ok("list /adapters").await;
    assert!(listed.out.contains("/adapters/enrolment/3"), "{listed:?}");
}

#[actix::test]
async fn conflicting_edit_is_refused_with_the_conflicts() {
    // Two edits are based on the same revision; the second would overwrite the first unseen.
    let ctl = sample_tree().await;
    ctl.ok("set /accounts/clinics rate=600 --base 4").await;
    let late = ctl.run("set /accounts/clinics rate=700 --base 4").await;
    assert_eq!(late.code, 4, "{late:?}");
    assert!(
        late.err
            .contains("set /accounts/clinics rate=600 (revision 5, by ana)"),
        "{late:?}"
    );
    let child = ctl
        .run("create /accounts/clinics/el-sol account --base 4")
        .await;
    assert_eq!(child.code, 0, "{child:?}");
    ctl.ok("delete /accounts/clinics/el-sol").await;
    let orphan = ctl
        .run("set /accounts/clinics/el-sol rate=1 --base 6")
        .await;
    assert_eq!(orphan.code, 4, "{orphan:?}");
    let twice = ctl
        .run("create /accounts/clinics/el-sol group --base 5")
        .await;
    assert!(
        twice
            .err
            .contains("create account /accounts/clinics/el-sol (revision 6"),
        "{twice:?}"
    );
}

#[actix::test]
async fn edit_is_applied_once_when_the_response_is_lost() {
    // The controller accepts the edit and its response is lost; the retry must not apply it again.
    let ctl = start_controller(FakeController::default().with_lost_replies(2));
    let ran = ctl.ok("create /accounts/farm account -o json").await;
    assert_eq!(ran.json()["revision"], 1);
    let ran = ctl.ok("history -o json").await;
    assert_eq!(ran.json()["edits"].as_array().unwrap().len(), 1);
}

#[actix::test]
async fn unknown_edit_outcome_is_reported() {
    // Every response is lost, so neither success nor failure may be reported.
    let ctl = start_controller(FakeController::default().with_all_replies_lost());
    let ran = ctl
        .run("create /accounts/farm account --base 0 --edit-id e-7")
        .await;
    assert_eq!(ran.code, 6, "{ran:?}");
    assert!(ran.err.contains("jasminectl edit status e-7"), "{ran:?}");
}

#[actix::test]
async fn edit_older_than_the_log_is_unknown_not_refused() {
    // The response is lost, and the retry is refused because the controller's log begins after the
    // edit's base. The edit may still be in force, as it is here.
    let ctl = start_controller(
        FakeController::default()
            .with_lost_replies(1)
            .with_log_reset(),
    );
    let ran = ctl.run("create /accounts/farm account --edit-id e8").await;
    assert_eq!(ran.code, 6, "{ran:?}");
    ctl.ok("show /accounts/farm").await;
}

#[actix::test]
async fn reused_edit_id_is_refused() {
    // Returning the first edit's record for a repeated `key issue` would print a key that no VM accepts.
    let ctl = sample_tree().await;
    let first = "key issue /accounts/clinics/san-juan phones --edit-id e9";
    ctl.ok(first).await;
    let again = ctl.run(first).await;
    assert_eq!(again.code, 4, "{again:?}");
    assert!(!again.out.contains(KEY_PREFIX), "{again:?}");
    assert!(
        again.err.contains("edit id e9 was used for another edit"),
        "{again:?}"
    );
    ctl.ok("set /accounts/clinics rate=8 --edit-id e10").await;
    ctl.ok("set /accounts/clinics rate=8 --edit-id e10").await;
}

#[actix::test]
async fn unreachable_controller_is_skipped() {
    // Nothing listens at the first address of the list.
    let (_taken, nobody) = bind_without_listening();
    let ctl = Ctl::at(&[nobody, serve(FakeController::default())], TOKEN);
    ctl.ok("create /accounts/farm account").await;
    let none = Ctl::at(&[nobody], TOKEN);
    for line in ["list", "create /accounts/farm account --base 0"] {
        let ran = none.run(line).await;
        assert_eq!(ran.code, 5, "{ran:?}");
    }
}

#[actix::test]
async fn token_is_required_and_never_printed() {
    let mut ctl = start_controller(FakeController::default());
    let ran = ctl.run("fleet --token-file /nowhere").await;
    assert_eq!(ran.code, 2, "{ran:?}");
    ctl.token = None;
    assert_eq!(ctl.run("fleet").await.code, 2);
    ctl.token = Some("guessed-token".to_owned());
    let ran = ctl.run("fleet").await;
    assert_eq!(ran.code, 7, "{ran:?}");
    assert!(!format!("{ran:?}").contains("guessed-token"));
    let help = ctl.ok("--help").await;
    assert!(help.out.contains("Exit codes") && !help.out.contains(TOKEN));
}

#[actix::test]
async fn bulk_file_is_applied_atomically() {
    let ctl = sample_tree().await;
    let file = std::env::temp_dir().join(format!("jasminectl-bulk-{}.json", std::process::id()));
    let name = file.to_str().unwrap();
    let good = json!({"op": "create", "path": "/accounts/a", "kind": "account"});
    let bad = json!({"op": "set", "path": "/accounts/a", "setting": "rate", "value": 0});
    fs::write(&file, json!([good, bad]).to_string()).unwrap();
    let ran = ctl.run(&format!("apply {name}")).await;
    assert_eq!(ran.code, 3, "{ran:?}");
    assert!(
        ran.err.contains("/accounts/a: rate=0 is not allowed"),
        "{ran:?}"
    );
    assert_eq!(ctl.run("show /accounts/a").await.code, 3);
    fs::write(&file, json!({"ops": [good]}).to_string()).unwrap();
    let ran = ctl.ok(&format!("apply {name} --dry-run")).await;
    assert!(ran.out.contains("nothing was written"), "{ran:?}");
    assert_eq!(ctl.run("show /accounts/a").await.code, 3);
    ctl.ok(&format!("apply {name}")).await;
    ctl.ok("show /accounts/a").await;
    fs::write(&file, "[{\"op\": \"creat\"}]").unwrap();
    let ran = ctl.run(&format!("apply {name}")).await;
    assert!(ran.code == 2 && ran.err.contains("line 1"), "{ran:?}");
    fs::remove_file(&file).unwrap();
}

#[actix::test]
async fn waiting_ends_when_the_edit_is_in_force_everywhere() {
    let ctl = start_controller(FakeController::default());
    let ran = ctl
        .ok("create /accounts/farm account --edit-id e1 --wait 10")
        .await;
    assert!(ran.out.contains("in force everywhere"), "{ran:?}");
    let ctl = start_controller(FakeController::default().with_silent_gateway());
    let ran = ctl
        .run("create /accounts/farm account --edit-id e1 --wait 1")
        .await;
    assert_eq!(ran.code, 8, "{ran:?}");
    assert!(ran.err.contains("VM 2"), "{ran:?}");
}

#[actix::test]
async fn fleet_lists_vms_and_store_state() {
    let ctl = start_controller(FakeController::default());
    let shown = ctl.ok("fleet").await;
    assert!(
        shown.out.contains("gt-2") && shown.out.contains("store reached"),
        "{shown:?}"
    );
    assert_eq!(ctl.ok("fleet -o json").await.json()["vms"][0]["owned"], 3);
}

#[actix::test]
async fn invalid_arguments_report_the_allowed_values() {
    let ctl = sample_tree().await;
    let rows = [
        (
            "set /accounts/clinics rate=many",
            "a whole number, 1 to 1000000000",
        ),
        (
            "set /accounts/clinics colour=red",
            "there is no setting \"colour\"",
        ),
        ("create /accounts/x gorilla", "data-centre"),
        ("show accounts", "names of 1 to 64"),
        ("explain /accounts colour", "rate"),
    ];
    for (line, expected) in rows {
        let ran = ctl.run(line).await;
        assert!(
            ran.code == 2 && ran.err.contains(expected),
            "{line}: {ran:?}"
        );
    }
}

#[actix::test]
async fn completion_needs_no_controller() {
    let ctl = Ctl {
        controllers: String::new(),
        token: None,
    };
    let ran = ctl.ok("completion bash").await;
    assert!(ran.out.contains("complete -F"), "{ran:?}");
}

#[actix::test]
async fn broken_answers_are_not_shown() {
    // Guards against a tree or an edit that the operator is told of on the word of a broken answer.
    let controller = serve(FakeController::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let proxy = Proxy::start(any_port, controller).unwrap();
    let ctl = Ctl::at(&[proxy.address()], TOKEN);
    ctl.ok("create /models/base model").await;
    for change in Rewrite::broken_heads() {
        proxy.set_rewrite(Some(change.clone()));
        for line in ["list /", "create /models/other model"] {
            let ran = ctl.run(line).await;
            assert_ne!(ran.code, 0, "{change:?} {line}: {ran:?}");
        }
        proxy.set_rewrite(None);
        ctl.ok("list /").await;
    }
}
