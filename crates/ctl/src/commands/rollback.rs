use {
    super::change::set_at,
    crate::{CtlError, cli::path_arg, client::Api},
    clap::ArgMatches,
    jasmine_conf::{
        api::NodeRow,
        tree::{EditOp, Path, Setting, Value},
    },
    jasmine_core::ids::Revision,
};

/// Edits that are searched for the version that was live before.
const SEARCHED: u16 = 1_000;

/// The op that makes the earlier live version live again, and the revision that it was made from.
pub(super) async fn ops(
    api: &Api,
    matches: &ArgMatches,
) -> Result<(Vec<EditOp>, Revision), CtlError> {
    let adapter = path_arg(matches)?;
    let page = api.tree(&adapter, Some(1), None).await?;
    let now = page
        .nodes
        .first()
        .and_then(|row| row.node.settings.get(Setting::Live));
    let history = api.history(&adapter, SEARCHED).await?;
    let earlier = history
        .edits
        .iter()
        .filter(|accepted| accepted.revision <= page.revision)
        .flat_map(|accepted| accepted.edit.ops.iter().rev())
        .filter_map(|op| live_set_by(op, &adapter))
        .find(|value| Some(*value) != now && exists(value, &adapter, &page.nodes));
    match earlier {
        Some(value) => Ok((
            vec![set_at(adapter, Setting::Live, value.clone())],
            page.revision,
        )),
        None => Err(CtlError::NoEarlierVersion { path: adapter }),
    }
}

/// The live version that an op gave the adapter.
fn live_set_by<'o>(
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

fn exists(
    version: &Value,
    adapter: &Path,
    nodes: &[NodeRow],
) -> bool {
    adapter
        .child(&version.to_string())
        .is_ok_and(|path| nodes.iter().any(|row| row.path == path))
}
