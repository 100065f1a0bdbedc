//! Issuing of API keys. The key is generated here, and only its digest is sent to the controller.

use {
    super::send::{submit, wait},
    crate::{
        CtlError,
        cli::{EditArgs, GlobalArgs, OutputFormat, parse_path_arg, required},
        client::ApiClient,
        output,
    },
    clap::ArgMatches,
    jasmine_conf::{
        fleet::IssuedKey,
        tree::{EditOp, NodeKind, Path, Setting, Settings, Value},
    },
    jasmine_core::ids::Revision,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// JSON output of `key issue`.
#[derive(Serialize)]
struct IssuedKeyOutput<'a> {
    path: &'a Path,
    key: Option<&'a str>,
    revision: Revision,
    edit: &'a str,
    dry_run: bool,
}

/// Generates a key, submits its digest and prints the key.
pub(super) async fn issue(
    api: &ApiClient,
    args: &GlobalArgs,
    edit_args: &EditArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = parse_path_arg(matches)?.child(required::<String>(matches, "name"))?;
    let key = IssuedKey::random();
    let digest = Value::text(&String::from(key.digest()));
    let op = EditOp::Create {
        path: path.clone(),
        kind: NodeKind::Key,
        settings: Settings::from(BTreeMap::from([(Setting::Digest, digest)])),
    };
    let answer = submit(api, args, edit_args, vec![op]).await?;
    let issued = IssuedKeyOutput {
        path: &path,
        key: (!answer.dry_run).then(|| key.reveal()),
        revision: answer.revision,
        edit: edit_args.id.as_str(),
        dry_run: answer.dry_run,
    };
    match (args.output, issued.key) {
        (OutputFormat::Json, _) => output::json(&issued)?,
        (OutputFormat::Table, Some(key)) => output::line(&format!(
            "{key}\n\naccepted: revision {}, edit {}\nThis is the key of {path}. It is not stored and can't be shown again.",
            issued.revision, issued.edit
        ))?,
        (OutputFormat::Table, None) => output::line("valid; no key was issued")?,
    }
    wait(api, args, edit_args).await
}
