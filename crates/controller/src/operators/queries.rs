//! Query parameters and results of reads of the tree and its history.

use {
    super::{ApiError, TreeView},
    jasmine_conf::{
        api::{History, NodeRow, TreePage},
        tree::{EditError, Path, Tree},
    },
    serde::Deserialize,
};

/// Default number of nodes per page.
const DEFAULT_PAGE_NODES: usize = 1_000;
/// Upper bound of `limit` in both queries.
const MAX_LIMIT: usize = 5_000;
/// Default number of edits per reply.
const DEFAULT_HISTORY_EDITS: usize = 50;

/// Query parameters of a read of the tree.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TreeQuery {
    path: Option<Path>,
    depth: Option<usize>,
    after: Option<Path>,
    limit: Option<usize>,
}

/// Query parameters of a read of the edit history.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HistoryQuery {
    path: Option<Path>,
    limit: Option<usize>,
}

/// Returns one page of the nodes at and below a path.
pub(super) fn tree_page(
    tree: &Tree,
    query: &TreeQuery,
) -> Result<TreePage, ApiError> {
    let top = query.path.clone().unwrap_or_else(Path::root);
    if tree.node(&top).is_none() {
        return Err(ApiError::of_read(&EditError::NoSuchNode { path: top }));
    }
    let limit = query
        .limit
        .unwrap_or(DEFAULT_PAGE_NODES)
        .clamp(1, MAX_LIMIT);
    let max_depth = query
        .depth
        .map(|depth| depth_of(&top).saturating_add(depth));
    let all: Box<dyn Iterator<Item = _>> = match &query.after {
        Some(after) => Box::new(tree.within_after(&top, after)),
        None => Box::new(tree.within(&top)),
    };
    let mut rows = all
        .filter(|(path, _)| max_depth.is_none_or(|max_depth| depth_of(path) <= max_depth))
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

/// Depth of a path below the root.
fn depth_of(path: &Path) -> usize {
    match path.as_str() {
        "/" => 0,
        text => text.matches('/').count(),
    }
}

/// Returns the newest edits that affect a path.
pub(super) fn history(
    view: &TreeView,
    query: &HistoryQuery,
) -> History {
    let top = query.path.clone().unwrap_or_else(Path::root);
    let limit = query
        .limit
        .unwrap_or(DEFAULT_HISTORY_EDITS)
        .clamp(1, MAX_LIMIT);
    History {
        edits: view.log.history_of(&top).take(limit).cloned().collect(),
    }
}
