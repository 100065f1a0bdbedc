//! Property tests: stored and transferred trees round-trip, and invalid input does not panic.

mod small_edits;

use {
    bolero::check,
    jasmine_conf::{
        fleet::Fleet,
        store_layout::{
            EDIT_PREFIX, HEAD_KEY, Head, SHARD_PREFIX, Shard, edit_key, load, plan, write_outcome,
        },
        tree::{
            AcceptedEdit, Edit, EditId, EditLog, EditOp, EditsBody, Path, Proposal, Setting, Tree,
            TreeBody,
        },
    },
    jasmine_core::ids::Revision,
    small_edits::{PATHS, SmallEdit, SmallOp, populated_tree},
    std::{collections::BTreeMap, sync::Arc},
};

#[test]
fn a_stored_tree_loads_unchanged() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = populated_tree();
        let log = EditLog::new(Revision(0));
        let mut rows = BTreeMap::new();
        let mut all = log;
        let first = Edit {
            id: EditId::random(),
            author: "ana".to_owned(),
            base: Revision(0),
            ops: Vec::new(),
        };
        // The edit that populates the tree is not stored; the store starts with all shards up to date.
        let accepted = AcceptedEdit {
            revision: tree.revision(),
            at_unix_ms: 0,
            numbers: Vec::new(),
            edit: first,
        };
        all.push(Arc::new(accepted.clone()));
        let mut head = Head {
            revision: tree.revision(),
            edit: Some(accepted.edit.id.clone()),
            next_numbers: tree.next_numbers().clone(),
            oldest_edit: Revision(1),
            newest_bulk: Revision(0),
            shards: BTreeMap::new(),
        };
        for n in 0..jasmine_conf::store_layout::SHARDS {
            let shard = Shard::of(&tree, n);
            head.shards.entry(n).or_default().at = shard.at;
            rows.insert(
                jasmine_conf::store_layout::shard_key(n),
                serde_json::to_string(&shard).unwrap(),
            );
        }
        rows.insert(
            edit_key(Revision(1)),
            serde_json::to_string(&accepted).unwrap(),
        );
        rows.insert(HEAD_KEY.to_owned(), head.text());
        for small in edits {
            let Ok(Proposal {
                accepted,
                tree: after,
                ..
            }) = tree.propose(&small.edit(tree.revision()), &all, 0)
            else {
                continue;
            };
            let value = rows.get(HEAD_KEY).cloned();
            let write = plan(value.as_deref(), &tree, &after, &accepted).unwrap();
            assert_eq!(write.expect, value);
            rows.extend(write.puts);
            all.push(Arc::new(accepted));
            tree = after;
        }
        let under = |prefix: &str| -> BTreeMap<String, String> {
            let rows = rows.iter().filter(|(key, _)| key.starts_with(prefix));
            rows.map(|(key, value)| (key.clone(), value.clone()))
                .collect()
        };
        let head = Head::read(rows.get(HEAD_KEY).map(String::as_str)).unwrap();
        let edits: Vec<_> = under(EDIT_PREFIX)
            .into_iter()
            .filter(|(key, _)| *key >= edit_key(head.first_edit_to_load()))
            .map(|(_, value)| value)
            .collect();
        let loaded = load(&head, &under(SHARD_PREFIX), &edits).unwrap();
        assert_eq!(loaded.tree, tree);
        assert_eq!(loaded.tree.resolve(), tree.resolve());
    });
}

#[test]
fn a_tree_round_trips_through_json() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = populated_tree();
        for small in edits {
            let log = EditLog::new(tree.revision());
            if let Ok(proposal) = tree.propose(&small.edit(tree.revision()), &log, 0) {
                let body = EditsBody {
                    edits: vec![proposal.accepted],
                };
                let json = serde_json::to_string(&body).unwrap();
                let back: EditsBody = serde_json::from_str(&json).unwrap();
                assert_eq!(back, body);
                tree = proposal.tree;
            }
        }
        let json = serde_json::to_string(&TreeBody::from(&tree)).unwrap();
        let back: TreeBody = serde_json::from_str(&json).unwrap();
        assert_eq!(Tree::from(back), tree);
    });
}

#[test]
fn decoders_survive_any_bytes() {
    check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        drop(serde_json::from_slice::<Edit>(bytes));
        drop(serde_json::from_slice::<Vec<EditOp>>(bytes));
        drop(serde_json::from_slice::<EditsBody>(bytes));
        if let Ok(body) = serde_json::from_slice::<TreeBody>(bytes) {
            Tree::from(body).resolve();
        }
        drop(Path::parse(&text));
        drop(Head::read(Some(&text)));
        drop(write_outcome(&EditId::random(), Some(&text)));
    });
}

#[test]
fn an_invalid_tree_from_a_peer_does_not_panic() {
    // Guards against panics on an invalid tree from a peer, such as an adapter without a model or a
    // version below a group.
    check!()
        .with_type::<(Vec<SmallOp>, Vec<SmallOp>)>()
        .for_each(|(nodes, later)| {
            let mut tree = Tree::from_parts(
                Revision(1),
                BTreeMap::new(),
                nodes.iter().map(|small| {
                    let mut node =
                        jasmine_conf::tree::Node::new(small.kind(), u32::from(small.value));
                    node.settings.set(small.setting(), small.value());
                    (small.path(), node)
                }),
            );
            tree.resolve();
            let accepted = AcceptedEdit {
                revision: Revision(2),
                at_unix_ms: 0,
                numbers: Vec::new(),
                edit: Edit {
                    id: EditId::random(),
                    author: String::new(),
                    base: Revision(1),
                    ops: later.iter().map(|small| small.op()).collect(),
                },
            };
            let changes = tree.apply(&accepted).unwrap();
            let mut fleet = Fleet::default();
            tree.refresh(&mut fleet, &changes);
            for path in PATHS {
                let path = Path::parse(path).unwrap();
                for setting in Setting::ALL {
                    drop(tree.explain(&path, setting));
                }
            }
        });
}
