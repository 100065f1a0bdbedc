use {
    crate::{
        CtlError,
        cli::{GlobalArgs, app, required},
        client::ApiClient,
        commands, output, queries, trace,
    },
    clap::ArgMatches,
    clap_complete::Shell,
    std::{io, path::PathBuf},
};

/// Runs the parsed command.
///
/// # Errors
///
/// [`CtlError`] with its exit code.
pub async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, command)) = matches.subcommand() else {
        return Err(CtlError::Usage("no subcommand given".to_owned()));
    };
    if let Some(&shell) = command.try_get_one::<Shell>("shell").ok().flatten() {
        clap_complete::generate(shell, &mut app(), "jasminectl", &mut io::stdout());
        return Ok(());
    }
    if name == "trace" {
        return print_trace(command);
    }
    let args = GlobalArgs::read(command)?;
    let api = ApiClient::new(&args);
    match name {
        "list" => queries::list(&api, &args, command).await,
        "show" => queries::show(&api, &args, command).await,
        "explain" => queries::explain(&api, &args, command).await,
        "history" => queries::history(&api, &args, command).await,
        "fleet" => queries::fleet(&api, &args).await,
        "edit" => queries::edit(&api, &args, command).await,
        _ => commands::change(&api, &args, name, command).await,
    }
}

/// Prints the trace of a request; reads only log files.
fn print_trace(command: &ArgMatches) -> Result<(), CtlError> {
    let id: &String = required(command, "id");
    let files: Vec<PathBuf> = command
        .get_many("file")
        .map(|files| files.cloned().collect())
        .unwrap_or_default();
    let request_trace = trace::trace(id, &files)?;
    if command
        .get_one::<String>("output")
        .is_some_and(|format| format == "json")
    {
        return output::json(&request_trace);
    }
    for line in request_trace.lines() {
        println!("{line}");
    }
    Ok(())
}
