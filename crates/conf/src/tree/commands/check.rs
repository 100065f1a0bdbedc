//! Whether an op fits the tree it is about, and whether the tree it leaves holds together.

use crate::tree::{
    EditError, EditOp, Family, NodeKind, Path, Removed, Rule, Setting, Settings, Shape, Standing,
    Touched, Tree, Value, queries::Levels, tree_nodes::COLLECTIONS,
};

/// The highest number of a data centre, which is kept in 16 bits.
const MAX_DATA_CENTRE: u32 = u16::MAX as u32;

/// Whether `op` can be carried out on `tree`.
pub(super) fn op(
    tree: &Tree,
    op: &EditOp,
) -> Result<(), EditError> {
    let path = op.path();
    match op {
        EditOp::Create { kind, settings, .. } => {
            place(tree, path, *kind)?;
            settings
                .iter()
                .try_for_each(|(setting, value)| self::value(path, *kind, setting, value))?;
            free_digest(tree, path, settings)
        }
        EditOp::Set { setting, value, .. } => {
            let kind = changeable(tree, path, *setting, Some(value))?;
            self::value(path, kind, *setting, value)
        }
        EditOp::Unset { setting, .. } => changeable(tree, path, *setting, None).map(|_| ()),
        EditOp::Delete { .. } if is_given(path) => Err(EditError::Given { path: path.clone() }),
        EditOp::Delete { .. } if tree.node(path).is_none() => {
            Err(EditError::NoSuchNode { path: path.clone() })
        }
        EditOp::Delete { .. } => Ok(()),
    }
}

/// The number that a created node gets; 0 for every other op and for kinds without numbers.
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
    let most = match family {
        Family::DataCentres => MAX_DATA_CENTRE,
        _ => u32::MAX - 1,
    };
    let number = tree.next_number(family);
    if number > most {
        return Err(EditError::NumbersUsedUp {
            path: path.clone(),
            kind: *kind,
        });
    }
    Ok(number)
}

/// Whether everything that an edit touched still resolves and nothing names what is gone.
pub(super) fn whole(
    tree: &Tree,
    ops: &[EditOp],
    touched: &Touched,
) -> Result<(), EditError> {
    ops.iter().try_for_each(|op| match op {
        EditOp::Create { path, settings, .. } => settings
            .iter()
            .try_for_each(|(setting, value)| names_exist(tree, path, setting, value)),
        EditOp::Set {
            path,
            setting,
            value,
        } => names_exist(tree, path, *setting, value),
        EditOp::Unset { .. } | EditOp::Delete { .. } => Ok(()),
    })?;
    let mut levels = Levels::new(tree);
    for path in &touched.paths {
        if let Some(node) = tree.node(path) {
            tree.entity(path, node, &mut levels)?;
        }
    }
    names_left_over(tree, touched)
}

fn is_given(path: &Path) -> bool {
    path.as_str() == "/" || COLLECTIONS.contains(&path.as_str())
}

fn place(
    tree: &Tree,
    path: &Path,
    kind: NodeKind,
) -> Result<(), EditError> {
    if is_given(path) {
        return Err(EditError::Given { path: path.clone() });
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
            .any(|given| given[1..] == *path.collection())
        && kind
            .collection()
            .is_none_or(|given| given == path.collection());
    if !fits {
        return Err(EditError::WrongPlace {
            path: path.clone(),
            kind,
            allowed: match kind.collection() {
                Some(given) => format!("it stands below a {} in /{given}", kind.parent()),
                None => "it stands below a group".to_owned(),
            },
        });
    }
    match kind {
        NodeKind::Version => free_version(path, parent_node.last_version),
        _ => free_name(tree, path, kind),
    }
}

fn free_version(
    path: &Path,
    last: u32,
) -> Result<(), EditError> {
    let canonical = |version: &u32| version.to_string() == path.name();
    match path.name().parse().ok().filter(canonical) {
        Some(version) if version > last => Ok(()),
        _ => Err(EditError::BadVersion {
            path: path.clone(),
            least: last.saturating_add(1),
        }),
    }
}

fn free_name(
    tree: &Tree,
    path: &Path,
    kind: NodeKind,
) -> Result<(), EditError> {
    // Callers write adapters and base models in the same place, so one name can't be both.
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

/// Refuses a key whose digest is another key's: it would run for one account or the other.
fn free_digest(
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

fn value(
    path: &Path,
    kind: NodeKind,
    setting: Setting,
    value: &Value,
) -> Result<(), EditError> {
    if !setting.may_stand_at(kind, path.collection()) {
        return Err(EditError::NotHere {
            path: path.clone(),
            kind,
            setting,
        });
    }
    let Rule { shape, .. } = setting.rule();
    if !shape.admits(value) {
        return Err(EditError::BadValue {
            path: path.clone(),
            setting,
            value: value.to_string().chars().take(100).collect(),
            allowed: shape.allowed(),
        });
    }
    Ok(())
}

/// The kind of the node, where `setting` may change there; `to` is the new value, if any.
fn changeable(
    tree: &Tree,
    path: &Path,
    setting: Setting,
    to: Option<&Value>,
) -> Result<NodeKind, EditError> {
    let Some(node) = tree.node(path) else {
        return Err(EditError::NoSuchNode { path: path.clone() });
    };
    let fixed = setting.rule().standing == Standing::Fixed
        && setting.may_stand_at(node.kind, path.collection());
    // A key that works again after its withdrawal would serve whoever it was withdrawn from.
    let withdrawn = setting == Setting::Withdrawn
        && node.settings.get(setting) == Some(&Value::Flag(true))
        && to != Some(&Value::Flag(true));
    if fixed || withdrawn {
        return Err(EditError::Fixed {
            path: path.clone(),
            setting,
        });
    }
    match to {
        None if node.settings.get(setting).is_none() => Err(EditError::NotSet {
            path: path.clone(),
            setting,
        }),
        _ => Ok(node.kind),
    }
}

/// Refuses values that name what doesn't exist.
fn names_exist(
    tree: &Tree,
    path: &Path,
    setting: Setting,
    value: &Value,
) -> Result<(), EditError> {
    let missing = match (setting.rule().shape, value) {
        (Shape::Reference(family), Value::Text(name)) => {
            tree.named(family, name).is_none().then_some(name)
        }
        (Shape::Accounts, Value::Names(names)) => names
            .iter()
            .find(|name| tree.named(Family::Accounts, name).is_none()),
        _ => None,
    };
    match missing {
        None => Ok(()),
        Some(name) => Err(EditError::NoSuchName {
            path: path.clone(),
            setting,
            name: name.to_string(),
        }),
    }
}

/// Refuses an edit that removes what a value elsewhere still names.
fn names_left_over(
    tree: &Tree,
    touched: &Touched,
) -> Result<(), EditError> {
    let gone: Vec<_> = touched
        .removed
        .iter()
        .filter(|gone| is_named_by_values(gone.family))
        .filter(|gone| tree.named(gone.family, &gone.name).is_none())
        .collect();
    if gone.is_empty() {
        return Ok(());
    }
    let rows = tree
        .nodes()
        .flat_map(|(by, node)| node.settings.iter().map(move |row| (by, row)));
    for (by, (setting, value)) in rows {
        if let Some(gone) = gone.iter().find(|gone| names(setting, value, gone)) {
            return Err(EditError::StillNamed {
                path: gone.path.clone(),
                setting,
                by: by.clone(),
            });
        }
    }
    Ok(())
}

const fn is_named_by_values(family: Family) -> bool {
    matches!(
        family,
        Family::Accounts | Family::Models | Family::Services | Family::DataCentres
    )
}

/// Whether `value` names `gone`.
fn names(
    setting: Setting,
    value: &Value,
    gone: &Removed,
) -> bool {
    match (setting.rule().shape, value) {
        (Shape::Reference(family), Value::Text(name)) => {
            family == gone.family && *name == gone.name
        }
        (Shape::Accounts, Value::Names(names)) => {
            gone.family == Family::Accounts && names.contains(&gone.name)
        }
        _ => false,
    }
}
