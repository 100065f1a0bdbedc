//! Generated edits, trees and bytes: promises that hold whatever operators type and daemons receive.

use {
    bolero::{TypeGenerator, check},
    jasmine_conf::{
        fleet::Fleet,
        store_layout::{
            EDIT_PREFIX, HEAD_KEY, Head, SHARD_PREFIX, Shard, edit_key, load, plan, settle,
        },
        tree::{
            Accepted, Edit, EditId, EditLog, EditOp, EditsBody, Family, NodeKind, Path, Proposal,
            Setting, Settings, Tree, TreeBody, Value,
        },
    },
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, sync::Arc},
};

/// Paths that generated ops are about: few, so that they meet.
const PATHS: [&str; 24] = [
    "/",
    "/accounts",
    "/accounts/g",
    "/accounts/g/a",
    "/accounts/a",
    "/accounts/b",
    "/accounts/b/k",
    "/accounts/g/a/k",
    "/accounts/g-a",
    "/adapters",
    "/adapters/g",
    "/adapters/g/x",
    "/adapters/x",
    "/adapters/x/1",
    "/adapters/x/2",
    "/adapters/x/3",
    "/models/m",
    "/models/n",
    "/data-centres/d",
    "/upstreams",
    "/upstreams/e",
    "/upstreams/s",
    "/services/v",
    "/services/v/c",
];

const VALUES: usize = 14;

/// An op in few bits.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct SmallOp {
    action: u8,
    path: u8,
    kind: u8,
    setting: u8,
    value: u8,
}

impl SmallOp {
    fn path(self) -> Path {
        Path::parse(PATHS[usize::from(self.path) % PATHS.len()]).unwrap()
    }

    fn setting(self) -> Setting {
        Setting::ALL[usize::from(self.setting) % Setting::ALL.len()]
    }

    fn value(self) -> Value {
        let digest = format!("{:064x}", self.value);
        match usize::from(self.value) % VALUES {
            0 => Value::Number(1),
            1 => Value::Number(2),
            2 => Value::Number(700),
            3 => Value::Flag(true),
            4 => Value::Flag(false),
            5 => Value::text("m"),
            6 => Value::text("n"),
            7 => Value::text("d"),
            8 => Value::text("v"),
            9 => Value::text("leaving"),
            10 => Value::text("10.0.0.1:80"),
            11 => Value::Names(vec!["a".into()]),
            12 => Value::text("GET"),
            _ => Value::text(&digest),
        }
    }

    /// What a node of this kind needs to be accepted now and then.
    fn settings(
        self,
        kind: NodeKind,
    ) -> Settings {
        let digest = Value::text(&format!("{:064x}", self.value));
        let text = Value::text;
        let rows = match kind {
            NodeKind::Key => vec![(Setting::Digest, digest)],
            NodeKind::Version => vec![(Setting::Weights, text("w"))],
            NodeKind::Adapter => vec![(Setting::Model, text("m"))],
            NodeKind::Engine => vec![
                (Setting::Model, text("m")),
                (Setting::DataCentre, text("d")),
                (Setting::Address, text("10.0.0.1:80")),
            ],
            NodeKind::Server => vec![
                (Setting::Service, text("v")),
                (Setting::DataCentre, text("d")),
                (Setting::Address, text("10.0.0.1:81")),
            ],
            NodeKind::Call => vec![(Setting::Method, text("POST")), (Setting::Path, text("/p"))],
            _ => Vec::new(),
        };
        Settings::from(rows.into_iter().collect::<BTreeMap<_, _>>())
    }

    /// The kind that fits the path, or now and then another.
    fn kind(self) -> NodeKind {
        match (self.kind % 8, PATHS[usize::from(self.path) % PATHS.len()]) {
            (0, _) => NodeKind::ALL[usize::from(self.kind / 8) % NodeKind::ALL.len()],
            (_, path) if path.ends_with("/k") => NodeKind::Key,
            (_, path) if path.ends_with("/g") => NodeKind::Group,
            (_, path) if path.starts_with("/accounts") => NodeKind::Account,
            (_, path) if path.starts_with("/adapters/x/") => NodeKind::Version,
            (_, path) if path.starts_with("/adapters") => NodeKind::Adapter,
            (_, path) if path.starts_with("/models") => NodeKind::Model,
            (_, path) if path.starts_with("/data") => NodeKind::DataCentre,
            (_, "/upstreams/s") => NodeKind::Server,
            (_, path) if path.starts_with("/upstreams") => NodeKind::Engine,
            (_, "/services/v/c") => NodeKind::Call,
            (_, _) => NodeKind::Service,
        }
    }

    fn op(self) -> EditOp {
        let path = self.path();
        match self.action % 8 {
            0..=3 => EditOp::Create {
                settings: self.settings(self.kind()),
                kind: self.kind(),
                path,
            },
            4 | 5 => EditOp::Set {
                path,
                setting: self.setting(),
                value: self.value(),
            },
            6 => EditOp::Unset {
                path,
                setting: self.setting(),
            },
            _ => EditOp::Delete { path },
        }
    }
}

/// Ops of one edit, one to three.
#[derive(Clone, Debug, TypeGenerator)]
struct SmallEdit {
    first: SmallOp,
    second: Option<SmallOp>,
    third: Option<SmallOp>,
}

impl SmallEdit {
    fn ops(&self) -> Vec<EditOp> {
        [Some(self.first), self.second, self.third]
            .into_iter()
            .flatten()
            .map(SmallOp::op)
            .collect()
    }

    fn edit(
        &self,
        base: Revision,
    ) -> Edit {
        Edit {
            id: EditId::random(),
            author: "ana".to_owned(),
            base,
            ops: self.ops(),
        }
    }
}

/// A tree with something in every collection, so that short sequences reach far.
fn furnished() -> Tree {
    let tree = Tree::default();
    let paths = [
        "/models/m",
        "/models/n",
        "/data-centres/d",
        "/accounts/g",
        "/accounts/g/a",
        "/accounts/g/a/k",
        "/accounts/g-a",
        "/accounts/b",
        "/adapters/x",
        "/adapters/x/1",
        "/services/v",
        "/services/v/c",
        "/upstreams/e",
        "/upstreams/s",
    ];
    let ops = paths
        .map(|path| SmallOp {
            action: 0,
            path: PATHS.iter().position(|known| *known == path).unwrap() as u8,
            kind: 1,
            setting: 0,
            value: 0,
        })
        .map(SmallOp::op)
        .to_vec();
    let edit = Edit {
        id: EditId::random(),
        author: "ana".to_owned(),
        base: Revision(0),
        ops,
    };
    tree.propose(&edit, &EditLog::default(), 0).unwrap().tree
}

/// The tree without what depends on the order of edits: numbers and the revision.
fn without_numbers(tree: &Tree) -> Vec<(String, NodeKind, Settings)> {
    tree.nodes()
        .map(|(path, node)| (path.to_string(), node.kind, node.settings.clone()))
        .collect()
}

#[test]
fn accepted_edits_leave_a_tree_that_resolves_and_refreshes() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = furnished();
        let mut fleet = tree.resolve();
        let mut given = BTreeMap::new();
        for small in edits {
            let log = EditLog::new(tree.revision());
            let before = tree.clone();
            let Ok(proposal) = tree.propose(&small.edit(tree.revision()), &log, 0) else {
                assert_eq!(tree, before);
                continue;
            };
            let touched = tree.apply(&proposal.accepted).unwrap();
            assert_eq!(tree, proposal.tree);
            tree.refresh(&mut fleet, &touched);
            assert_eq!(fleet, tree.resolve(), "{:?}", proposal.accepted.edit.ops);
            assert_whole(&tree, &fleet);
            // The index of names, which equality passes over, is what a fresh look at the nodes gives.
            let fresh = Tree::from(TreeBody::from(&tree));
            assert_eq!(format!("{tree:?}"), format!("{fresh:?}"));
            assert_numbers_are_new(&proposal.accepted, &mut given);
        }
    });
}

/// Everything that has a number in the tree is in the resolved fleet.
fn assert_whole(
    tree: &Tree,
    fleet: &Fleet,
) {
    let count = |family| {
        tree.nodes()
            .filter(|(_, node)| node.kind.family() == Some(family))
            .count()
    };
    assert_eq!(fleet.accounts.iter().count(), count(Family::Accounts));
    assert_eq!(fleet.keys.len(), count(Family::Keys));
    assert_eq!(fleet.adapters.iter().count(), count(Family::Adapters));
    assert_eq!(fleet.adapter_names.len(), count(Family::Adapters));
    assert_eq!(fleet.models.iter().count(), count(Family::Models));
    assert_eq!(fleet.upstreams.iter().count(), count(Family::Upstreams));
    assert_eq!(fleet.services.iter().count(), count(Family::Services));
    assert_eq!(
        fleet.data_centres.iter().count(),
        count(Family::DataCentres)
    );
}

/// A number of a family, or of an adapter's version, is given out once.
fn assert_numbers_are_new(
    accepted: &Accepted,
    given: &mut BTreeMap<(Family, u32), Revision>,
) {
    let mut numbers = accepted.numbers.iter();
    for op in &accepted.edit.ops {
        if let EditOp::Create { kind, .. } = op {
            let number = *numbers.next().unwrap();
            if let Some(family) = kind.family() {
                let earlier = given.insert((family, number), accepted.revision);
                assert_eq!(earlier, None, "{family:?} {number}");
            }
        }
    }
}

#[test]
fn edits_that_touch_different_things_give_the_same_tree_in_either_order() {
    check!()
        .with_type::<(SmallEdit, SmallEdit)>()
        .for_each(|(one, other)| {
            let tree = furnished();
            let base = tree.revision();
            let both = |first: &SmallEdit, second: &SmallEdit| {
                let mut log = EditLog::new(base);
                let made = tree.propose(&first.edit(base), &log, 0).ok()?;
                assert!(log.push(Arc::new(made.accepted)));
                let late = made.tree.propose(&second.edit(base), &log, 0).ok()?;
                Some(without_numbers(&late.tree))
            };
            // A name that one gives up and the other takes is touched by both: whoever takes it is told
            // that it is taken, unless the other came first.
            let meet = |a: &SmallEdit, b: &SmallEdit| {
                let taken = names_taken(a);
                names_given_up(&tree, b)
                    .iter()
                    .any(|name| taken.contains(name))
            };
            let alone = |small: &SmallEdit| {
                let log = EditLog::new(base);
                tree.propose(&small.edit(base), &log, 0).is_ok()
            };
            if alone(one) && alone(other) && !meet(one, other) && !meet(other, one) {
                assert_eq!(
                    both(one, other),
                    both(other, one),
                    "{:?} {:?}",
                    one.ops(),
                    other.ops()
                );
            }
        });
}

/// The name that a node has in its family, or the digest of a key.
fn family_name(
    path: &Path,
    kind: NodeKind,
    settings: &Settings,
) -> Option<(Family, String)> {
    let name = match settings.get(Setting::Digest) {
        Some(digest) => digest.to_string(),
        None => path.name().to_owned(),
    };
    Some((kind.family()?, name))
}

fn names_taken(edit: &SmallEdit) -> Vec<(Family, String)> {
    edit.ops()
        .iter()
        .filter_map(|op| match op {
            EditOp::Create {
                path,
                kind,
                settings,
            } => family_name(path, *kind, settings),
            _ => None,
        })
        .collect()
}

fn names_given_up(
    tree: &Tree,
    edit: &SmallEdit,
) -> Vec<(Family, String)> {
    edit.ops()
        .iter()
        .filter(|op| matches!(op, EditOp::Delete { .. }))
        .flat_map(|op| tree.within(op.path()))
        .filter_map(|(path, node)| family_name(path, node.kind, &node.settings))
        .collect()
}

#[test]
fn what_is_stored_is_read_back() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = furnished();
        let log = EditLog::new(Revision(0));
        let mut rows = BTreeMap::new();
        let mut all = log;
        let first = Edit {
            id: EditId::random(),
            author: "ana".to_owned(),
            base: Revision(0),
            ops: Vec::new(),
        };
        // The furnishing edit is not stored, so the store begins with its shards lacking nothing.
        let accepted = Accepted {
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
            .filter(|(key, _)| *key >= edit_key(head.edits_from()))
            .map(|(_, value)| value)
            .collect();
        let loaded = load(&head, &under(SHARD_PREFIX), &edits).unwrap();
        assert_eq!(loaded.tree, tree);
        assert_eq!(loaded.tree.resolve(), tree.resolve());
    });
}

#[test]
fn replaying_edits_on_a_newer_tree_changes_nothing() {
    // A loader carries out again what some shards have already.
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = furnished();
        let start = tree.revision();
        let mut accepted = Vec::new();
        for small in edits {
            let log = EditLog::new(tree.revision());
            if let Ok(proposal) = tree.propose(&small.edit(tree.revision()), &log, 0) {
                tree = proposal.tree;
                accepted.push(proposal.accepted);
            }
        }
        let body = TreeBody::from(&tree);
        let mut again = Tree::from(TreeBody {
            revision: start,
            ..body
        });
        for edit in &accepted {
            again.apply(edit).unwrap();
        }
        assert_eq!(again, tree);
        assert_eq!(again.resolve(), tree.resolve());
    });
}

#[test]
fn a_tree_goes_over_the_wire_and_back() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = furnished();
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
fn pages_of_the_tree_leave_nothing_out() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = furnished();
        for small in edits {
            let log = EditLog::new(tree.revision());
            if let Ok(proposal) = tree.propose(&small.edit(tree.revision()), &log, 0) {
                tree = proposal.tree;
            }
        }
        let paths = || PATHS.map(|text| Path::parse(text).unwrap());
        for top in paths() {
            for after in paths() {
                let whole = tree
                    .within(&top)
                    .filter(|(path, _)| **path > after && **path != top);
                assert!(
                    whole.eq(tree.within_after(&top, &after)),
                    "{top} after {after}"
                );
            }
        }
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
        drop(settle(&EditId::random(), Some(&text)));
    });
}

#[test]
fn a_tree_from_a_confused_peer_does_not_panic() {
    // A peer of another version, or a defect, sends a tree that no edit could have made: an adapter
    // without a model, a version below a group. What resolves is served, the rest is left out.
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
            let accepted = Accepted {
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
            let touched = tree.apply(&accepted).unwrap();
            let mut fleet = Fleet::default();
            tree.refresh(&mut fleet, &touched);
            for path in PATHS {
                let path = Path::parse(path).unwrap();
                for setting in Setting::ALL {
                    drop(tree.explain(&path, setting));
                }
            }
        });
}
