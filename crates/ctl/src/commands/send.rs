use {
    crate::{
        CtlError,
        cli::{EditArgs, GlobalArgs, OutputFormat},
        client::ApiClient,
        output, queries,
    },
    jasmine_conf::{
        api::EditResponse,
        tree::{Edit, EditOp, Path},
    },
};

/// Submits ops as one edit, prints the result and waits if `--wait` is given.
pub(super) async fn send(
    api: &ApiClient,
    args: &GlobalArgs,
    edit_args: &EditArgs,
    ops: Vec<EditOp>,
) -> Result<EditResponse, CtlError> {
    let answer = submit(api, args, edit_args, ops).await?;
    match args.output {
        OutputFormat::Json => output::json(&answer)?,
        OutputFormat::Table => output::line(&describe(&answer))?,
    }
    wait(api, args, edit_args).await?;
    Ok(answer)
}

/// Submits ops as one edit, based on the newest revision unless `--base` is given.
pub(super) async fn submit(
    api: &ApiClient,
    args: &GlobalArgs,
    edit_args: &EditArgs,
    ops: Vec<EditOp>,
) -> Result<EditResponse, CtlError> {
    let base = match edit_args.base {
        Some(base) => base,
        None => api.tree(&Path::root(), Some(0), None).await?.revision,
    };
    let edit = Edit {
        id: edit_args.id.clone(),
        author: args.author.clone(),
        base,
        ops,
    };
    api.submit(&edit, edit_args.dry_run).await
}

/// Waits until the edit is in force on every VM, if `--wait` is given.
pub(super) async fn wait(
    api: &ApiClient,
    args: &GlobalArgs,
    edit_args: &EditArgs,
) -> Result<(), CtlError> {
    match edit_args.wait {
        Some(time) if !edit_args.dry_run => {
            queries::wait_until_in_force(api, args, &edit_args.id, time).await
        }
        _ => Ok(()),
    }
}

fn describe(answer: &EditResponse) -> String {
    let id = &answer.accepted.edit.id;
    let ops = answer.accepted.edit.ops.len();
    let revision = answer.revision;
    if answer.dry_run {
        return format!("valid: {ops} op(s); nothing was written");
    }
    format!("accepted: revision {revision}, edit {id}, {ops} op(s)")
}
