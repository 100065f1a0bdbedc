use {
    crate::{
        CtlError,
        cli::{GlobalArgs, OutputFormat, parse_path_arg, required},
        client::ApiClient,
        output,
    },
    clap::ArgMatches,
    jasmine_conf::{
        api::{EditProgress, VmProgress},
        tree::{AcceptedEdit, EditId},
    },
    jasmine_core::error::ErrorKind,
    std::time::{Duration, Instant},
};

/// Interval between two polls of an edit's progress.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Ops listed per edit in the history table.
const MAX_OPS_SHOWN: usize = 3;

/// Lists the newest edits that touch a path.
pub async fn history(
    api: &ApiClient,
    args: &GlobalArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = parse_path_arg(matches)?;
    let history = api
        .history(&path, *required::<u16>(matches, "limit"))
        .await?;
    match args.output {
        OutputFormat::Json => output::json(&history),
        OutputFormat::Table => {
            let rows = history.edits.iter().map(|accepted| {
                vec![
                    accepted.revision.to_string(),
                    output::utc(accepted.at_unix_ms),
                    accepted.edit.author.clone(),
                    accepted.edit.id.to_string(),
                    ops_text(accepted, MAX_OPS_SHOWN),
                ]
            });
            output::table(&["revision", "at (UTC)", "author", "edit", "changes"], rows)
        }
    }
}

/// Shows an edit or its progress.
pub async fn edit(
    api: &ApiClient,
    args: &GlobalArgs,
    command: &ArgMatches,
) -> Result<(), CtlError> {
    let Some((action, matches)) = command.subcommand() else {
        return Err(CtlError::Usage("no subcommand given".to_owned()));
    };
    let id = EditId::parse(required::<String>(matches, "id"))?;
    if action == "show" {
        return show(api, args, &id).await;
    }
    match matches.get_one::<u64>("wait") {
        Some(&secs) => wait_until_in_force(api, args, &id, Duration::from_secs(secs)).await,
        None => print_progress(args, &api.progress(&id).await?),
    }
}

async fn show(
    api: &ApiClient,
    args: &GlobalArgs,
    id: &EditId,
) -> Result<(), CtlError> {
    let accepted = api.edit(id).await?;
    match args.output {
        OutputFormat::Json => output::json(&accepted),
        OutputFormat::Table => {
            output::line(&format!(
                "revision {}, {} UTC, by {}, based on {}",
                accepted.revision,
                output::utc(accepted.at_unix_ms),
                accepted.edit.author,
                accepted.edit.base
            ))?;
            output::line(&ops_text(&accepted, usize::MAX))
        }
    }
}

/// Waits until an edit is in force on every VM, then prints its progress.
///
/// # Errors
///
/// [`CtlError::WaitTimedOut`] with the remaining VMs if the timeout expires.
pub async fn wait_until_in_force(
    api: &ApiClient,
    args: &GlobalArgs,
    id: &EditId,
    timeout: Duration,
) -> Result<(), CtlError> {
    let started = Instant::now();
    loop {
        let progress = match api.progress(id).await {
            Ok(progress) => Some(progress),
            // The controller may not have received the edit yet.
            Err(CtlError::ErrorResponse(body)) if body.kind() == Some(ErrorKind::NotFound) => None,
            Err(e) => return Err(e),
        };
        let has_timed_out = started.elapsed() >= timeout;
        match progress {
            Some(progress) if progress.everywhere => return print_progress(args, &progress),
            Some(progress) if has_timed_out => {
                print_progress(args, &progress)?;
                return Err(CtlError::WaitTimedOut {
                    id: id.clone(),
                    secs: timeout.as_secs(),
                    pending_vms: pending_vms(&progress.vms),
                });
            }
            None if has_timed_out => {
                return Err(CtlError::WaitTimedOut {
                    id: id.clone(),
                    secs: timeout.as_secs(),
                    pending_vms: "the VM of the controller that was asked".to_owned(),
                });
            }
            _ => actix_web::rt::time::sleep(POLL_INTERVAL).await,
        }
    }
}

fn pending_vms(vms: &[VmProgress]) -> String {
    vms.iter()
        .filter(|vm| !vm.in_force)
        .map(|vm| format!("VM {}", vm.vm))
        .collect::<Vec<_>>()
        .join(", ")
}

fn print_progress(
    args: &GlobalArgs,
    progress: &EditProgress,
) -> Result<(), CtlError> {
    match args.output {
        OutputFormat::Json => output::json(progress),
        OutputFormat::Table => {
            let rows = progress.vms.iter().map(|vm| {
                vec![
                    vm.vm.to_string(),
                    vm.data_centre.clone(),
                    vm.controller.to_string(),
                    vm.gateway.to_string(),
                    output::yes_no(vm.in_force),
                ]
            });
            output::table(
                &["VM", "data centre", "controller", "gateway", "in force"],
                rows,
            )?;
            let extent = if progress.everywhere {
                "everywhere"
            } else {
                "not everywhere"
            };
            output::line(&format!(
                "revision {}: in force {extent}",
                progress.revision
            ))
        }
    }
}

fn ops_text(
    accepted: &AcceptedEdit,
    max_ops: usize,
) -> String {
    let ops = &accepted.edit.ops;
    let mut lines: Vec<_> = ops.iter().take(max_ops).map(ToString::to_string).collect();
    if ops.len() > max_ops {
        lines.push(format!("and {} more", ops.len() - max_ops));
    }
    lines.join("\n")
}
