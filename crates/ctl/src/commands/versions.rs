use {
    super::change::set_op,
    crate::{
        CtlError,
        cli::{parse_path_arg, required},
        client::ApiClient,
    },
    clap::ArgMatches,
    jasmine_conf::tree::{EditOp, NodeKind, Setting, Settings, Value},
    jasmine_core::ids::Revision,
    std::collections::BTreeMap,
};

/// Builds the ops that add the next version of an adapter.
///
/// Also returns the revision that the ops are based on.
pub(super) async fn add(
    api: &ApiClient,
    matches: &ArgMatches,
) -> Result<(Vec<EditOp>, Revision), CtlError> {
    let adapter = parse_path_arg(matches)?;
    let page = api.tree(&adapter, Some(0), None).await?;
    let last = page
        .nodes
        .first()
        .filter(|row| row.node.kind == NodeKind::Adapter)
        .map(|row| row.node.last_version)
        .ok_or_else(|| CtlError::Usage(format!("{adapter} is not an adapter")))?;
    let version = last.saturating_add(1);
    let weights = Value::text(required::<String>(matches, "weights"));
    let mut ops = vec![EditOp::Create {
        path: adapter.child(&version.to_string())?,
        kind: NodeKind::Version,
        settings: Settings::from(BTreeMap::from([(Setting::Weights, weights)])),
    }];
    if matches.get_flag("live") {
        ops.push(set_op(
            adapter,
            Setting::Live,
            Value::Number(version.into()),
        ));
    }
    Ok((ops, page.revision))
}
