//! The revision of the current configuration never decreases.

use {
    bolero::check,
    jasmine_conf::tree::{AcceptedEdit, Edit, EditId, EditLog, EditsBody, Tree, TreeBody},
    jasmine_controller::{clock::MonotonicClock, config::ConfigState},
    jasmine_core::ids::Revision,
    serde_json::json,
};

const EDITS: u64 = 12;

/// Trees of revisions 0 to `EDITS`, each with one more account, and the edits between them.
fn history() -> (Vec<Tree>, Vec<AcceptedEdit>) {
    let mut trees = vec![Tree::default()];
    let mut edits = Vec::new();
    let mut log = EditLog::new(Revision(0));
    for n in 0..EDITS {
        let op = json!({
            "op": "create", "path": format!("/accounts/a{n}"), "kind": "account",
            "settings": {"rate": 1, "burst": 1},
        });
        let edit = Edit {
            id: EditId::parse(&format!("e{n}")).unwrap(),
            author: "test".into(),
            base: Revision(n),
            ops: vec![serde_json::from_value(op).unwrap()],
        };
        let proposal = trees[n as usize].propose(&edit, &log, n).unwrap();
        assert!(log.push(proposal.accepted.clone().into()));
        edits.push(proposal.accepted);
        trees.push(proposal.tree);
    }
    (trees, edits)
}

/// Guards against stale or reordered edits and trees restoring a revoked key.
#[test]
fn stale_configuration_is_never_applied() {
    let (trees, edits) = history();
    check!()
        .with_iterations(500)
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|arrivals| {
            let state = ConfigState::new(MonotonicClock::start());
            let mut newest = Revision(0);
            for &(kind, a, b) in arrivals {
                let (a, b) = (u64::from(a) % (EDITS + 1), u64::from(b) % (EDITS + 1));
                match kind % 4 {
                    0 => {
                        state.install(trees[a as usize].clone(), Vec::new());
                    }
                    1 => {
                        let body = TreeBody::from(&trees[a as usize]);
                        state.apply_body(&serde_json::to_vec(&body).unwrap(), true);
                    }
                    2 => {
                        let some = a.min(b) as usize..a.max(b) as usize;
                        let body = EditsBody {
                            edits: edits[some].to_vec(),
                        };
                        state.apply_body(&serde_json::to_vec(&body).unwrap(), false);
                    }
                    _ => {
                        if let Some(edit) = edits.get(a as usize) {
                            state.apply(edit);
                        }
                    }
                }
                assert!(
                    state.revision() >= newest,
                    "the revision decreased from {newest}"
                );
                newest = state.revision();
            }
            let Some((tree, _)) = state.tree() else {
                return;
            };
            assert!(
                tree == trees[newest.0 as usize],
                "the tree differs at revision {newest}"
            );
            let fleet = state.fleet().unwrap();
            assert_eq!(fleet.accounts.iter().count() as u64, newest.0);
        });
}
