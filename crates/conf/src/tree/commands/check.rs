//! Validation of single ops and of the tree that results from an edit.

use crate::tree::{
    EditError, EditOp, EntityChanges, Family, NodeKind, Path, RemovedEntity, Setting, SettingScope,
    SettingSpec, Settings, Tree, Value, ValueType, queries::InheritedValues,
    tree_nodes::COLLECTIONS,
};

/// The maximum number of a data centre, which is stored in 16 bits.
const MAX_DATA_CENTRE_NUMBER: u32 = u16::MAX as u32;

/// Checks whether `op` can be applied to `tree`.
pub(super) fn op(
    tree: &Tree,
    op: &EditOp,
) -> Result<(), EditError> {
    let path = op.path();
    match op {
        EditOp::Create { kind, settings, .. } => {
            check_placement(tree, path, *kind)?;
            settings
                .iter()
                .try_for_each(|(setting, value)| self::check_value(path, *kind, setting, value))?;
            check_digest_is_free(tree, path, settings)
        }
        EditOp::Set { setting, value, .. } => {
            let kind = check_changeable(tree, path, *setting, Some(value))?;
            self::check_value(path, kind, *setting, value)
        }
        EditOp::Unset { setting, .. } => check_changeable(tree, path, *setting, None).map(|_| ()),
        EditOp::Delete { .. } if is_built_in(path) => {
            Err(EditError::BuiltInNode { path: path.clone() })
        }
        EditOp::Delete { .. } if tree.node(path).is_none() => {
            Err(EditError::NoSuchNode { path: path.clone() })
        }
        EditOp::Delete { .. } => Ok(()),
    }
}

/// The next number of its family for a created node; 0 if the op or kind takes no number.
pub(super) fn number(
    tree: &Tree,
    op: &EditOp,
) -> Result<u32, EditError> {
    let EditOp::Create { path, kind, .. } = op else {
        return Ok(0);
    };
    let Some(family) = kind.family() else {
        return Ok(0);
    };
    let max = match family {
        Family::DataCentres => MAX_DATA_CENTRE_NUMBER,
        _ => u32::MAX - 1,
    };
    let number = tree.next_number(family);
    if number > max {
        return Err(EditError::NumbersExhausted {
            path: path.clone(),
            kind: *kind,
        });
    }
    Ok(number)
}

/// Checks that all changed entities resolve and that no reference is left dangling.
pub(super) fn check_consistency(
    tree: &Tree,
    ops: &[EditOp],
    changes: &EntityChanges,
) -> Result<(), EditError> {
    ops.iter().try_for_each(|op| match op {
        EditOp::Create { path, settings, .. } => settings
            .iter()
            .try_for_each(|(setting, value)| check_references(tree, path, setting, value)),
        EditOp::Set {
            path,
            setting,
            value,
        } => check_references(tree, path, *setting, value),
        EditOp::Unset { .. } | EditOp::Delete { .. } => Ok(()),
    })?;
    let mut levels = InheritedValues::new(tree);
    for path in &changes.paths {
        if let Some(node) = tree.node(path) {
            tree.entity(path, node, &mut levels)?;
        }
    }
    check_dangling_references(tree, changes)
}

fn is_built_in(path: &Path) -> bool {
    path.as_str() == "/" || COLLECTIONS.contains(&path.as_str())
}

fn check_placement(
    tree: &Tree,
    path: &Path,
    kind: NodeKind,
) -> Result<(), EditError> {
    if is_built_in(path) {
        return Err(EditError::BuiltInNode { path: path.clone() });
    }
    if tree.node(path).is_some() {
        return Err(EditError::Exists { path: path.clone() });
    }
    let parent = path.parent().unwrap_or_else(Path::root);
    let Some(parent_node) = tree.node(&parent) else {
        return Err(EditError::NoSuchNode { path: parent });
    };
    let fits = parent_node.kind == kind.parent()
        && COLLECTIONS
            .iter()
            .any(|collection| collection[1..] == *path.collection())
        && kind
            .collection()
            .is_none_or(|collection| collection == path.collection());
    if !fits {
        return Err(EditError::InvalidParent {
            path: path.clone(),
            kind,
            allowed: match kind.collection() {
                Some(collection) => format!("it stands below a {} in /{collection}", kind.parent()),
                None => "it stands below a group".to_owned(),
            },
        });
    }
    match kind {
        NodeKind::Version => check_version_number(path, parent_node.last_version),
        _ => check_name_is_free(tree, path, kind),
    }
}

fn check_version_number(
    path: &Path,
    last: u32,
) -> Result<(), EditError> {
    let canonical = |version: &u32| version.to_string() == path.name();
    match path.name().parse().ok().filter(canonical) {
        Some(version) if version > last => Ok(()),
        _ => Err(EditError::BadVersion {
            path: path.clone(),
            min: last.saturating_add(1),
        }),
    }
}

fn check_name_is_free(
    tree: &Tree,
    path: &Path,
    kind: NodeKind,
) -> Result<(), EditError> {
    // Callers use adapter and base model names in the same field, so they share a namespace.
    let families: &[Family] = match kind.family() {
        Some(Family::Adapters | Family::Models) => &[Family::Adapters, Family::Models],
        Some(Family::Keys) | None => &[],
        Some(Family::Accounts) => &[Family::Accounts],
        Some(Family::Upstreams) => &[Family::Upstreams],
        Some(Family::Services) => &[Family::Services],
        Some(Family::DataCentres) => &[Family::DataCentres],
    };
    let taken = families
        .iter()
        .find_map(|&family| tree.named(family, path.name()));
    match taken {
        Some((by, _)) => Err(EditError::NameTaken {
            path: path.clone(),
            by: by.clone(),
        }),
        None => Ok(()),
    }
}

/// Refuses a key with the digest of another key, whose account would be ambiguous.
fn check_digest_is_free(
    tree: &Tree,
    path: &Path,
    settings: &Settings,
) -> Result<(), EditError> {
    let taken = settings
        .get(Setting::Digest)
        .and_then(Value::as_text)
        .and_then(|digest| tree.named(Family::Keys, digest));
    match taken {
        Some((by, _)) => Err(EditError::NameTaken {
            path: path.clone(),
            by: by.clone(),
        }),
        None => Ok(()),
    }
}

fn check_value(
    path: &Path,
    kind: NodeKind,
    setting: Setting,
    value: &Value,
) -> Result<(), EditError> {
    if !setting.is_allowed_on(kind, path.collection()) {
        return Err(EditError::SettingNotAllowed {
            path: path.clone(),
            kind,
            setting,
        });
    }
    let SettingSpec { value_type, .. } = setting.spec();
    if !value_type.allows(value) {
        return Err(EditError::BadValue {
            path: path.clone(),
            setting,
            value: value.to_string().chars().take(100).collect(),
            allowed: value_type.allowed(),
        });
    }
    Ok(())
}

/// Checks that `setting` may change on a node and returns the kind of the node; `to` is the new value, if any.
fn check_changeable(
    tree: &Tree,
    path: &Path,
    setting: Setting,
    to: Option<&Value>,
) -> Result<NodeKind, EditError> {
    let Some(node) = tree.node(path) else {
        return Err(EditError::NoSuchNode { path: path.clone() });
    };
    let fixed = setting.spec().scope == SettingScope::Fixed
        && setting.is_allowed_on(node.kind, path.collection());
    // A withdrawn key may be known to others and must never become valid again.
    let withdrawn = setting == Setting::Withdrawn
        && node.settings.get(setting) == Some(&Value::Flag(true))
        && to != Some(&Value::Flag(true));
    if fixed || withdrawn {
        return Err(EditError::Immutable {
            path: path.clone(),
            setting,
        });
    }
    match to {
        None if node.settings.get(setting).is_none() => Err(EditError::SettingNotSet {
            path: path.clone(),
            setting,
        }),
        _ => Ok(node.kind),
    }
}

/// Refuses references to nodes that do not exist.
fn check_references(
    tree: &Tree,
    path: &Path,
    setting: Setting,
    value: &Value,
) -> Result<(), EditError> {
    let missing = match (setting.spec().value_type, value) {
        (ValueType::Reference(family), Value::Text(name)) => {
            tree.named(family, name).is_none().then_some(name)
        }
        (ValueType::Accounts, Value::Names(names)) => names
            .iter()
            .find(|name| tree.named(Family::Accounts, name).is_none()),
        _ => None,
    };
    match missing {
        None => Ok(()),
        Some(name) => Err(EditError::ReferenceNotFound {
            path: path.clone(),
            setting,
            name: name.to_string(),
        }),
    }
}

/// Refuses the deletion of nodes that are still referenced.
fn check_dangling_references(
    tree: &Tree,
    changes: &EntityChanges,
) -> Result<(), EditError> {
    let removed: Vec<_> = changes
        .removed
        .iter()
        .filter(|removed| can_be_referenced(removed.family))
        .filter(|removed| tree.named(removed.family, &removed.name).is_none())
        .collect();
    if removed.is_empty() {
        return Ok(());
    }
    let rows = tree
        .nodes()
        .flat_map(|(by, node)| node.settings.iter().map(move |row| (by, row)));
    for (by, (setting, value)) in rows {
        if let Some(removed) = removed
            .iter()
            .find(|removed| is_reference_to(setting, value, removed))
        {
            return Err(EditError::StillReferenced {
                path: removed.path.clone(),
                setting,
                by: by.clone(),
            });
        }
    }
    Ok(())
}

const fn can_be_referenced(family: Family) -> bool {
    matches!(
        family,
        Family::Accounts | Family::Models | Family::Services | Family::DataCentres
    )
}

/// Whether `value` refers to `removed`.
fn is_reference_to(
    setting: Setting,
    value: &Value,
    removed: &RemovedEntity,
) -> bool {
    match (setting.spec().value_type, value) {
        (ValueType::Reference(family), Value::Text(name)) => {
            family == removed.family && *name == removed.name
        }
        (ValueType::Accounts, Value::Names(names)) => {
            removed.family == Family::Accounts && names.contains(&removed.name)
        }
        _ => false,
    }
}
