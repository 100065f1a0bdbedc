use {
    crate::{
        CtlError,
        cli::{GlobalArgs, app},
        client::Api,
        commands, queries,
    },
    clap::ArgMatches,
    clap_complete::Shell,
    std::io,
};

/// Carries out one command line.
///
/// # Errors
///
/// [`CtlError`] with its exit code.
pub async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let Some((name, command)) = matches.subcommand() else {
        return Err(CtlError::Usage("no command is named".to_owned()));
    };
    if let Some(&shell) = command.try_get_one::<Shell>("shell").ok().flatten() {
        clap_complete::generate(shell, &mut app(), "jasminectl", &mut io::stdout());
        return Ok(());
    }
    let args = GlobalArgs::read(command)?;
    let api = Api::new(&args);
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
