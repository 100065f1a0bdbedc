//! How one question to the tree is answered.

use {
    super::{ApiError, TreeView},
    jasmine_conf::{
        api::{History, NodeRow, TreePage},
        tree::{EditError, Path, Tree},
    },
    serde::Deserialize,
};

/// Nodes on one page when the question doesn't say.
const DEFAULT_PAGE: usize = 1_000;
/// Nodes on one page at most.
const MAX_PAGE: usize = 5_000;
/// Edits in one answer when the question doesn't say.
const DEFAULT_HISTORY: usize = 50;

/// Which part of the tree is asked for.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TreeQuery {
    path: Option<Path>,
    depth: Option<usize>,
    after: Option<Path>,
    limit: Option<usize>,
}

/// Which edits are asked for.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HistoryQuery {
    path: Option<Path>,
    limit: Option<usize>,
}

/// One page of the nodes at and below a path.
pub(super) fn tree_page(
    tree: &Tree,
    query: &TreeQuery,
) -> Result<TreePage, ApiError> {
    let top = query.path.clone().unwrap_or_else(Path::root);
    if tree.node(&top).is_none() {
        return Err(ApiError::of_read(&EditError::NoSuchNode { path: top }));
    }
    let limit = query.limit.unwrap_or(DEFAULT_PAGE).clamp(1, MAX_PAGE);
    let most = query.depth.map(|depth| levels(&top).saturating_add(depth));
    let all: Box<dyn Iterator<Item = _>> = match &query.after {
        Some(after) => Box::new(tree.within_after(&top, after)),
        None => Box::new(tree.within(&top)),
    };
    let mut rows = all
        .filter(|(path, _)| most.is_none_or(|most| levels(path) <= most))
        .map(|(path, node)| NodeRow {
            path: path.clone(),
            node: node.clone(),
        });
    let nodes: Vec<_> = rows.by_ref().take(limit).collect();
    let more = rows.next().is_some();
    Ok(TreePage {
        revision: tree.revision(),
        next: nodes.last().filter(|_| more).map(|row| row.path.clone()),
        nodes,
    })
}

/// How many levels below the root a path stands.
fn levels(path: &Path) -> usize {
    match path.as_str() {
        "/" => 0,
        text => text.matches('/').count(),
    }
}

/// The newest edits about a path.
pub(super) fn history(
    view: &TreeView,
    query: &HistoryQuery,
) -> History {
    let top = query.path.clone().unwrap_or_else(Path::root);
    let limit = query.limit.unwrap_or(DEFAULT_HISTORY).clamp(1, MAX_PAGE);
    History {
        edits: view.log.history_of(&top).take(limit).cloned().collect(),
    }
}
