use {
    super::change::set_at,
    crate::{
        CtlError,
        cli::{path_arg, required},
        client::Api,
    },
    clap::ArgMatches,
    jasmine_conf::tree::{EditOp, NodeKind, Setting, Settings, Value},
    jasmine_core::ids::Revision,
    std::collections::BTreeMap,
};

/// The ops that add the next version of an adapter, and the revision that they were made from.
pub(super) async fn add(
    api: &Api,
    matches: &ArgMatches,
) -> Result<(Vec<EditOp>, Revision), CtlError> {
    let adapter = path_arg(matches)?;
    let page = api.tree(&adapter, Some(0), None).await?;
    let last = page
        .nodes
        .first()
        .filter(|row| row.node.kind == NodeKind::Adapter)
        .map(|row| row.node.last_version)
        .ok_or_else(|| CtlError::Usage(format!("{adapter} is no adapter")))?;
    let version = last.saturating_add(1);
    let weights = Value::text(required::<String>(matches, "weights"));
    let mut ops = vec![EditOp::Create {
        path: adapter.child(&version.to_string())?,
        kind: NodeKind::Version,
        settings: Settings::from(BTreeMap::from([(Setting::Weights, weights)])),
    }];
    if matches.get_flag("live") {
        ops.push(set_at(
            adapter,
            Setting::Live,
            Value::Number(version.into()),
        ));
    }
    Ok((ops, page.revision))
}
