use {
    super::change::set_op,
    crate::{CtlError, cli::parse_path_arg, client::ApiClient},
    clap::ArgMatches,
    jasmine_conf::{
        api::NodeRow,
        tree::{EditOp, Path, Setting, Value},
    },
    jasmine_core::ids::Revision,
};

/// Edits searched for the previously live version.
const MAX_HISTORY_EDITS: u16 = 1_000;

/// Builds the op that restores the previously live version.
///
/// Also returns the revision that the op is based on.
pub(super) async fn ops(
    api: &ApiClient,
    matches: &ArgMatches,
) -> Result<(Vec<EditOp>, Revision), CtlError> {
    let adapter = parse_path_arg(matches)?;
    let page = api.tree(&adapter, Some(1), None).await?;
    let current = page
        .nodes
        .first()
        .and_then(|row| row.node.settings.get(Setting::Live));
    let history = api.history(&adapter, MAX_HISTORY_EDITS).await?;
    let previous = history
        .edits
        .iter()
        .filter(|accepted| accepted.revision <= page.revision)
        .flat_map(|accepted| accepted.edit.ops.iter().rev())
        .filter_map(|op| live_version_set_by(op, &adapter))
        .find(|value| Some(*value) != current && version_exists(value, &adapter, &page.nodes));
    match previous {
        Some(value) => Ok((
            vec![set_op(adapter, Setting::Live, value.clone())],
            page.revision,
        )),
        None => Err(CtlError::NoPreviousVersion { path: adapter }),
    }
}

/// Returns the live version that an op sets on the adapter.
fn live_version_set_by<'o>(
    op: &'o EditOp,
    adapter: &Path,
) -> Option<&'o Value> {
    match op {
        EditOp::Set {
            path,
            setting: Setting::Live,
            value,
        } if path == adapter => Some(value),
        EditOp::Create { path, settings, .. } if path == adapter => settings.get(Setting::Live),
        _ => None,
    }
}

fn version_exists(
    version: &Value,
    adapter: &Path,
    nodes: &[NodeRow],
) -> bool {
    adapter
        .child(&version.to_string())
        .is_ok_and(|path| nodes.iter().any(|row| row.path == path))
}
