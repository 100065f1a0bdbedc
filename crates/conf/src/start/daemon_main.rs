use {
    super::{StartAction, parse_start},
    crate::settings::{Validate, check_settings, read_settings},
    clap::Command,
    serde::de::DeserializeOwned,
    std::{error::Error, path::Path, process::ExitCode},
};

/// The exit code for an invalid settings file or a log that cannot be started.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code for errors while serving.
const EXIT_FAILURE: u8 = 1;

/// The exit code and reason of a failed daemon.
struct Failure {
    code: u8,
    reason: String,
}

/// The `main` function of a daemon: reads the settings, starts the log and serves until stopped.
///
/// The value returned by `start_log` is kept alive while the daemon runs. Errors are printed to standard
/// error; the exit code is 2 if the settings are invalid or the log cannot be started, and 1 if serving
/// fails.
pub fn daemon_main<S, G, L, R, StartLog, Run>(
    command: Command,
    start_log: StartLog,
    run: Run,
) -> ExitCode
where
    S: DeserializeOwned + Validate,
    L: Error,
    R: Error,
    StartLog: FnOnce(&S) -> Result<G, L>,
    Run: FnOnce(S) -> Result<(), R>,
{
    let name = command.get_name().to_owned();
    let result = match parse_start(&command.get_matches()) {
        StartAction::CheckSettings(file) => check::<S>(&file),
        StartAction::Serve(file) => serve(&file, start_log, run),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, reason }) => {
            eprintln!("{name}: {reason}");
            ExitCode::from(code)
        }
    }
}

fn check<S>(file: &Path) -> Result<(), Failure>
where
    S: DeserializeOwned + Validate,
{
    let line = check_settings::<S>(file).map_err(invalid_settings)?;
    println!("{line}");
    Ok(())
}

fn serve<S, G, L, R, StartLog, Run>(
    file: &Path,
    start_log: StartLog,
    run: Run,
) -> Result<(), Failure>
where
    S: DeserializeOwned + Validate,
    L: Error,
    R: Error,
    StartLog: FnOnce(&S) -> Result<G, L>,
    Run: FnOnce(S) -> Result<(), R>,
{
    let settings: S = read_settings(file).map_err(invalid_settings)?;
    let _log = start_log(&settings).map_err(invalid_settings)?;
    run(settings).map_err(|e| Failure {
        code: EXIT_FAILURE,
        reason: e.to_string(),
    })
}

fn invalid_settings<E>(e: E) -> Failure
where
    E: Error,
{
    Failure {
        code: EXIT_INVALID_SETTINGS,
        reason: e.to_string(),
    }
}
