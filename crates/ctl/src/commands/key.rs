//! A key is made here and only its digest is sent: no daemon ever sees a key before its caller.

use {
    super::send::{submit, wait},
    crate::{
        CtlError,
        cli::{EditArgs, GlobalArgs, OutputForm, path_arg, required},
        client::Api,
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

/// What is printed about a new key, this once.
#[derive(Serialize)]
struct Issued<'a> {
    path: &'a Path,
    key: Option<&'a str>,
    revision: Revision,
    edit: &'a str,
    dry_run: bool,
}

/// Makes a key, has its digest accepted, and shows it.
pub(super) async fn issue(
    api: &Api,
    args: &GlobalArgs,
    edit_args: &EditArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = path_arg(matches)?.child(required::<String>(matches, "name"))?;
    let key = IssuedKey::random();
    let digest = Value::text(&String::from(key.digest()));
    let op = EditOp::Create {
        path: path.clone(),
        kind: NodeKind::Key,
        settings: Settings::from(BTreeMap::from([(Setting::Digest, digest)])),
    };
    let answer = submit(api, args, edit_args, vec![op]).await?;
    let issued = Issued {
        path: &path,
        key: (!answer.dry_run).then(|| key.reveal()),
        revision: answer.revision,
        edit: edit_args.id.as_str(),
        dry_run: answer.dry_run,
    };
    match (args.output, issued.key) {
        (OutputForm::Json, _) => output::json(&issued)?,
        (OutputForm::Table, Some(key)) => output::line(&format!(
            "{key}\n\naccepted: revision {}, edit {}\nThis is the key of {path}. It is shown only now and kept nowhere.",
            issued.revision, issued.edit
        ))?,
        (OutputForm::Table, None) => output::line("valid; no key was made")?,
    }
    wait(api, args, edit_args).await
}
