//! Property tests: invariants of the tree under generated edits.

mod small_edits;

use {
    bolero::check,
    jasmine_conf::{
        fleet::Fleet,
        tree::{
            AcceptedEdit, EditLog, EditOp, Family, NodeKind, Path, Setting, Settings, Tree,
            TreeBody,
        },
    },
    jasmine_core::ids::Revision,
    small_edits::{PATHS, SmallEdit, populated_tree},
    std::{collections::BTreeMap, sync::Arc},
};

/// The nodes without numbers, which depend on the order of edits.
fn without_numbers(tree: &Tree) -> Vec<(String, NodeKind, Settings)> {
    tree.nodes()
        .map(|(path, node)| (path.to_string(), node.kind, node.settings.clone()))
        .collect()
}

#[test]
fn refreshing_after_an_edit_equals_resolving_the_tree() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = populated_tree();
        let mut fleet = tree.resolve();
        let mut assigned = BTreeMap::new();
        for small in edits {
            let log = EditLog::new(tree.revision());
            let before = tree.clone();
            let Ok(proposal) = tree.propose(&small.edit(tree.revision()), &log, 0) else {
                assert_eq!(tree, before);
                continue;
            };
            let changes = tree.apply(&proposal.accepted).unwrap();
            assert_eq!(tree, proposal.tree);
            tree.refresh(&mut fleet, &changes);
            assert_eq!(fleet, tree.resolve(), "{:?}", proposal.accepted.edit.ops);
            assert_all_resolved(&tree, &fleet);
            // Compares the name index, which `PartialEq` ignores, with a rebuilt one.
            let fresh = Tree::from(TreeBody::from(&tree));
            assert_eq!(format!("{tree:?}"), format!("{fresh:?}"));
            assert_numbers_are_new(&proposal.accepted, &mut assigned);
        }
    });
}

/// Asserts that the resolved fleet contains every node that has a number.
fn assert_all_resolved(
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

/// Asserts that each number of a family is assigned only once.
fn assert_numbers_are_new(
    accepted: &AcceptedEdit,
    assigned: &mut BTreeMap<(Family, u32), Revision>,
) {
    let mut numbers = accepted.numbers.iter();
    for op in &accepted.edit.ops {
        if let EditOp::Create { kind, .. } = op {
            let number = *numbers.next().unwrap();
            if let Some(family) = kind.family() {
                let earlier = assigned.insert((family, number), accepted.revision);
                assert_eq!(earlier, None, "{family:?} {number}");
            }
        }
    }
}

#[test]
fn independent_edits_give_the_same_tree_in_either_order() {
    check!()
        .with_type::<(SmallEdit, SmallEdit)>()
        .for_each(|(one, other)| {
            let tree = populated_tree();
            let base = tree.revision();
            let both = |first: &SmallEdit, second: &SmallEdit| {
                let mut log = EditLog::new(base);
                let made = tree.propose(&first.edit(base), &log, 0).ok()?;
                assert!(log.push(Arc::new(made.accepted)));
                let late = made.tree.propose(&second.edit(base), &log, 0).ok()?;
                Some(without_numbers(&late.tree))
            };
            // Edits are not independent if one releases a name that the other takes: the order decides
            // whether the name is free.
            let shares_name = |a: &SmallEdit, b: &SmallEdit| {
                let taken = names_taken(a);
                names_released(&tree, b)
                    .iter()
                    .any(|name| taken.contains(name))
            };
            let is_accepted = |small: &SmallEdit| {
                let log = EditLog::new(base);
                tree.propose(&small.edit(base), &log, 0).is_ok()
            };
            if is_accepted(one)
                && is_accepted(other)
                && !shares_name(one, other)
                && !shares_name(other, one)
            {
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

/// The name of a node in its family; the digest for keys.
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

fn names_released(
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
fn replaying_edits_on_a_newer_tree_changes_nothing() {
    // Loading replays edits that some shards already include.
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = populated_tree();
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
fn tree_pages_contain_every_node() {
    check!().with_type::<Vec<SmallEdit>>().for_each(|edits| {
        let mut tree = populated_tree();
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
