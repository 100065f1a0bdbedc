use {
    crate::{
        CtlError,
        cli::{GlobalArgs, OutputForm, path_arg, required},
        client::Api,
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

/// Pause between two looks at how far an edit has got.
const BETWEEN_LOOKS: Duration = Duration::from_millis(250);
/// Ops that the history shows of one edit.
const OPS_SHOWN: usize = 3;

/// Lists the newest edits about a path.
pub async fn history(
    api: &Api,
    args: &GlobalArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = path_arg(matches)?;
    let history = api
        .history(&path, *required::<u16>(matches, "limit"))
        .await?;
    match args.output {
        OutputForm::Json => output::json(&history),
        OutputForm::Table => {
            let rows = history.edits.iter().map(|accepted| {
                vec![
                    accepted.revision.to_string(),
                    output::utc(accepted.at_unix_ms),
                    accepted.edit.author.clone(),
                    accepted.edit.id.to_string(),
                    ops_text(accepted, OPS_SHOWN),
                ]
            });
            output::table(&["revision", "at (UTC)", "author", "edit", "changes"], rows)
        }
    }
}

/// Tells about one edit.
pub async fn edit(
    api: &Api,
    args: &GlobalArgs,
    command: &ArgMatches,
) -> Result<(), CtlError> {
    let Some((action, matches)) = command.subcommand() else {
        return Err(CtlError::Usage("no command is named".to_owned()));
    };
    let id = EditId::parse(required::<String>(matches, "id"))?;
    if action == "show" {
        return show(api, args, &id).await;
    }
    match matches.get_one::<u64>("wait") {
        Some(&secs) => wait_everywhere(api, args, &id, Duration::from_secs(secs)).await,
        None => print_progress(args, &api.progress(&id).await?),
    }
}

async fn show(
    api: &Api,
    args: &GlobalArgs,
    id: &EditId,
) -> Result<(), CtlError> {
    let accepted = api.edit(id).await?;
    match args.output {
        OutputForm::Json => output::json(&accepted),
        OutputForm::Table => {
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

/// Waits until an edit is in force on every VM, then prints how far it is.
///
/// # Errors
///
/// [`CtlError::NotEverywhere`] with the VMs that lack it when the time is over.
pub async fn wait_everywhere(
    api: &Api,
    args: &GlobalArgs,
    id: &EditId,
    time: Duration,
) -> Result<(), CtlError> {
    let started = Instant::now();
    loop {
        let progress = match api.progress(id).await {
            Ok(progress) => Some(progress),
            // The controller that answers may not have got the edit yet.
            Err(CtlError::Refused(body)) if body.kind() == Some(ErrorKind::NotFound) => None,
            Err(e) => return Err(e),
        };
        let over = started.elapsed() >= time;
        match progress {
            Some(progress) if progress.everywhere => return print_progress(args, &progress),
            Some(progress) if over => {
                print_progress(args, &progress)?;
                return Err(CtlError::NotEverywhere {
                    id: id.clone(),
                    secs: time.as_secs(),
                    lacking: lacking(&progress.vms),
                });
            }
            None if over => {
                return Err(CtlError::NotEverywhere {
                    id: id.clone(),
                    secs: time.as_secs(),
                    lacking: "the VM that answers".to_owned(),
                });
            }
            _ => actix_web::rt::time::sleep(BETWEEN_LOOKS).await,
        }
    }
}

fn lacking(vms: &[VmProgress]) -> String {
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
        OutputForm::Json => output::json(progress),
        OutputForm::Table => {
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
            let done = if progress.everywhere {
                "everywhere"
            } else {
                "not everywhere"
            };
            output::line(&format!("revision {}: in force {done}", progress.revision))
        }
    }
}

fn ops_text(
    accepted: &AcceptedEdit,
    most: usize,
) -> String {
    let ops = &accepted.edit.ops;
    let mut lines: Vec<_> = ops.iter().take(most).map(ToString::to_string).collect();
    if ops.len() > most {
        lines.push(format!("and {} more", ops.len() - most));
    }
    lines.join("\n")
}
