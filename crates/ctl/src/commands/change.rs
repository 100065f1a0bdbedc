use {
    super::{apply_file, key, rollback, send::send, versions},
    crate::{
        CtlError,
        cli::{EditArgs, GlobalArgs, parse_path_arg, parse_settings_args, required},
        client::ApiClient,
    },
    clap::ArgMatches,
    jasmine_conf::tree::{EditOp, NodeKind, Path, Setting, Settings, Value},
    std::collections::BTreeMap,
};

/// Runs a command that changes the configuration tree.
///
/// # Errors
///
/// [`CtlError`] with its exit code.
pub async fn change(
    api: &ApiClient,
    args: &GlobalArgs,
    name: &str,
    command: &ArgMatches,
) -> Result<(), CtlError> {
    let (action, matches) = match command.subcommand() {
        Some((action, matches)) => (action, matches),
        None => ("", command),
    };
    let mut edit_args = EditArgs::read(matches)?;
    let ops = match (name, action) {
        ("create", _) => create(matches)?,
        ("set", _) => set(matches)?,
        ("unset", _) => vec![unset(matches)?],
        ("delete", _) => vec![EditOp::Delete {
            path: parse_path_arg(matches)?,
        }],
        ("apply", _) => apply_file::read(required::<String>(matches, "file"))?,
        ("key", "issue") => return key::issue(api, args, &edit_args, matches).await,
        ("key", _) => vec![set_op_from_args(
            matches,
            Setting::Withdrawn,
            Value::Flag(true),
        )?],
        ("adapter", "add-version") => {
            let (ops, base) = versions::add(api, matches).await?;
            edit_args.base.get_or_insert(base);
            ops
        }
        ("adapter", "rollback") => {
            let (ops, base) = rollback::ops(api, matches).await?;
            edit_args.base.get_or_insert(base);
            ops
        }
        ("adapter", _) => {
            let version = *required::<u32>(matches, "version");
            vec![set_op_from_args(
                matches,
                Setting::Live,
                Value::Number(version.into()),
            )?]
        }
        (_, "drain") => vec![set_op_from_args(
            matches,
            Setting::State,
            Value::text("leaving"),
        )?],
        (_, _) => vec![set_op_from_args(
            matches,
            Setting::State,
            Value::text("active"),
        )?],
    };
    send(api, args, &edit_args, ops).await.map(drop)
}

fn create(matches: &ArgMatches) -> Result<Vec<EditOp>, CtlError> {
    let name = required::<String>(matches, "kind");
    let kind = NodeKind::from_name(name)
        .ok_or_else(|| CtlError::Usage(format!("unknown node kind {name:?}")))?;
    let settings: BTreeMap<_, _> = parse_settings_args(matches)?.into_iter().collect();
    Ok(vec![EditOp::Create {
        path: parse_path_arg(matches)?,
        kind,
        settings: Settings::from(settings),
    }])
}

fn set(matches: &ArgMatches) -> Result<Vec<EditOp>, CtlError> {
    let path = parse_path_arg(matches)?;
    let op = |(setting, value)| EditOp::Set {
        path: path.clone(),
        setting,
        value,
    };
    Ok(parse_settings_args(matches)?.into_iter().map(op).collect())
}

fn unset(matches: &ArgMatches) -> Result<EditOp, CtlError> {
    let name = required::<String>(matches, "setting");
    let setting = Setting::from_name(name)
        .ok_or_else(|| CtlError::Usage(format!("there is no setting {name:?}")))?;
    Ok(EditOp::Unset {
        path: parse_path_arg(matches)?,
        setting,
    })
}

fn set_op_from_args(
    matches: &ArgMatches,
    setting: Setting,
    value: Value,
) -> Result<EditOp, CtlError> {
    Ok(set_op(parse_path_arg(matches)?, setting, value))
}

/// Builds the op that sets one setting.
pub(super) const fn set_op(
    path: Path,
    setting: Setting,
    value: Value,
) -> EditOp {
    EditOp::Set {
        path,
        setting,
        value,
    }
}
