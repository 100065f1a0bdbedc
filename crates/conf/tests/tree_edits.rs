//! Edits of the tree: which are accepted and which are refused with which error.

use {
    jasmine_conf::{
        fleet::{Access, ModelRef, UpstreamState},
        tree::{Edit, EditError, EditId, EditLog, EditOp, Path, Setting, Tree},
    },
    jasmine_core::{error::ErrorKind, ids::AccountId},
};

const SMALL_FLEET: &str = r#"[
  {"op":"create","path":"/models/base-8b","kind":"model"},
  {"op":"create","path":"/data-centres/gt-1","kind":"data-centre","settings":{"region":"gt-central"}},
  {"op":"create","path":"/accounts/clinics","kind":"group","settings":{"rate":500,"priority":"high"}},
  {"op":"create","path":"/accounts/clinics/san-juan","kind":"account","settings":{"burst":9000}},
  {"op":"create","path":"/accounts/clinics/san-juan/phones","kind":"key","settings":{"digest":"00000000000000000000000000000000000000000000000000000000000000aa"}},
  {"op":"set","path":"/adapters","setting":"model","value":"base-8b"},
  {"op":"set","path":"/adapters","setting":"access","value":"all"},
  {"op":"create","path":"/adapters/enrolment","kind":"adapter","settings":{"access":["san-juan"],"live":1}},
  {"op":"create","path":"/adapters/enrolment/1","kind":"version","settings":{"weights":"enrolment-1"}},
  {"op":"create","path":"/upstreams/gt-1","kind":"group","settings":{"data_centre":"gt-1","model":"base-8b"}},
  {"op":"create","path":"/upstreams/gt-1/engine-1","kind":"engine","settings":{"address":"127.0.0.1:9001"}},
  {"op":"create","path":"/services/booking","kind":"service","settings":{"deadline_ms":2000}},
  {"op":"create","path":"/services/booking/status","kind":"call","settings":{"method":"GET","path":"/slots/{}"}},
  {"op":"create","path":"/services/booking/book","kind":"call","settings":{"method":"POST","path":"/slots"}}
]"#;

fn edit(
    tree: &Tree,
    ops: &str,
) -> Edit {
    Edit {
        id: EditId::random(),
        author: "ana".to_owned(),
        base: tree.revision(),
        ops: serde_json::from_str::<Vec<EditOp>>(ops).unwrap(),
    }
}

fn small_fleet() -> Tree {
    let tree = Tree::default();
    let log = EditLog::default();
    tree.propose(&edit(&tree, SMALL_FLEET), &log, 0)
        .unwrap()
        .tree
}

fn refusal(
    tree: &Tree,
    ops: &str,
) -> EditError {
    let log = EditLog::new(tree.revision());
    tree.propose(&edit(tree, ops), &log, 0).unwrap_err()
}

#[test]
fn a_small_fleet_resolves_with_inheritance() {
    let fleet = small_fleet().resolve();
    let account = fleet.accounts.get(AccountId(1)).unwrap();
    assert_eq!(
        (account.rate, account.burst, account.weight),
        (500, 9000, 100)
    );
    let adapter = fleet.adapters.iter().next().unwrap();
    assert_eq!(adapter.access, Access::Accounts(vec![AccountId(1)]));
    assert!(matches!(
        fleet.model("enrolment@1"),
        Ok(ModelRef::Adapter(..))
    ));
    assert!(matches!(fleet.model("base-8b"), Ok(ModelRef::Base(_))));
    assert_eq!(fleet.model("enrolment@2"), Err(ErrorKind::ModelNotFound));
    let upstream = fleet.upstreams.iter().next().unwrap();
    assert_eq!(upstream.state, UpstreamState::Active);
    let calls = &fleet.service("booking").unwrap().calls;
    assert_eq!(
        calls.iter().map(|call| call.idempotent).collect::<Vec<_>>(),
        [false, true]
    );
    assert!(calls.iter().all(|call| call.deadline.0 == 2000));
}

#[test]
fn an_accepted_edit_gives_the_same_tree_everywhere() {
    let tree = small_fleet();
    let ops = r#"[{"op":"create","path":"/accounts/farms","kind":"account"},
        {"op":"set","path":"/accounts","setting":"weight","value":7}]"#;
    let log = EditLog::new(tree.revision());
    let proposal = tree.propose(&edit(&tree, ops), &log, 5).unwrap();
    let mut other = tree.clone();
    let mut fleet = other.resolve();
    let changes = other.apply(&proposal.accepted).unwrap();
    other.refresh(&mut fleet, &changes);
    assert_eq!(other, proposal.tree);
    assert_eq!(fleet, proposal.tree.resolve());
    assert!(matches!(
        other.apply(&proposal.accepted),
        Err(EditError::OutOfOrder { .. })
    ));
}

#[test]
fn invalid_edits_are_refused_with_a_reason() {
    let tree = small_fleet();
    let path = |text| Path::parse(text).unwrap();
    let rows = [
        (
            r#"[{"op":"set","path":"/accounts/clinics/san-juan","setting":"rate","value":0}]"#,
            "/accounts/clinics/san-juan: rate=0 is not allowed: a whole number, 1 to 1000000000",
        ),
        (
            r#"[{"op":"set","path":"/adapters","setting":"rate","value":1}]"#,
            "/adapters: rate is no setting of a node of kind group",
        ),
        (
            r#"[{"op":"delete","path":"/models/base-8b"}]"#,
            "/models/base-8b: still named by model of /adapters",
        ),
        (
            r#"[{"op":"delete","path":"/adapters/enrolment/1"}]"#,
            "/adapters/enrolment: live names \"1\", which doesn't exist",
        ),
        (
            r#"[{"op":"create","path":"/adapters/enrolment/1","kind":"version"}]"#,
            "/adapters/enrolment/1: already exists",
        ),
        (
            r#"[{"op":"create","path":"/adapters/base-8b","kind":"adapter"}]"#,
            "/adapters/base-8b: its name or digest is that of /models/base-8b",
        ),
        (
            r#"[{"op":"create","path":"/accounts/san-juan","kind":"account"}]"#,
            "/accounts/san-juan: its name or digest is that of /accounts/clinics/san-juan",
        ),
        (
            r#"[{"op":"unset","path":"/upstreams/gt-1","setting":"model"}]"#,
            "/upstreams/gt-1/engine-1: model is set neither here nor on a level above",
        ),
        (
            r#"[{"op":"delete","path":"/accounts"}]"#,
            "/accounts: the top-level groups are built in",
        ),
    ];
    for (ops, message) in rows {
        assert_eq!(refusal(&tree, ops).to_string(), message);
    }
    let deleted = r#"[{"op":"delete","path":"/adapters/enrolment"}]"#;
    let log = EditLog::new(tree.revision());
    let tree = tree.propose(&edit(&tree, deleted), &log, 0).unwrap().tree;
    assert!(tree.node(&path("/adapters/enrolment/1")).is_none());
}

#[test]
fn a_withdrawn_key_stays_withdrawn() {
    // Guards against an edit that makes a withdrawn key valid again: the key may have leaked.
    let tree = small_fleet();
    let key = "/accounts/clinics/san-juan/phones";
    let set = |on| format!(r#"[{{"op":"set","path":"{key}","setting":"withdrawn","value":{on}}}]"#);
    let log = EditLog::new(tree.revision());
    let tree = tree
        .propose(&edit(&tree, &set(true)), &log, 0)
        .unwrap()
        .tree;
    assert!(tree.resolve().keys.values().all(|key| key.withdrawn));
    let unset = format!(r#"[{{"op":"unset","path":"{key}","setting":"withdrawn"}}]"#);
    for ops in [set(false), unset] {
        assert!(matches!(
            refusal(&tree, &ops),
            EditError::Immutable {
                setting: Setting::Withdrawn,
                ..
            }
        ));
    }
}
