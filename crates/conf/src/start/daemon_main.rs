use {
    super::{Start, start_of},
    crate::settings::{Checked, check_settings, read_settings},
    clap::Command,
    serde::de::DeserializeOwned,
    std::{error::Error, path::Path, process::ExitCode},
};

/// The exit code for settings or arguments that can't be used.
const UNUSABLE: u8 = 2;
/// The exit code of a daemon that has failed.
const FAILED: u8 = 1;

/// Why a daemon ends.
struct Failure {
    code: u8,
    reason: String,
}

/// What a daemon's `main` does: reads and checks its settings, starts its log, and serves until it is stopped.
///
/// `start_log` returns what has to be kept while the daemon runs. An error goes to standard error; the exit code is 2
/// for settings or a log that can't be used, and 1 where serving fails.
pub fn daemon_main<S, G, L, R, StartLog, Run>(
    command: Command,
    start_log: StartLog,
    run: Run,
) -> ExitCode
where
    S: DeserializeOwned + Checked,
    L: Error,
    R: Error,
    StartLog: FnOnce(&S) -> Result<G, L>,
    Run: FnOnce(S) -> Result<(), R>,
{
    let name = command.get_name().to_owned();
    let result = match start_of(&command.get_matches()) {
        Start::CheckSettings(file) => check::<S>(&file),
        Start::Serve(file) => serve(&file, start_log, run),
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
    S: DeserializeOwned + Checked,
{
    let line = check_settings::<S>(file).map_err(unusable)?;
    println!("{line}");
    Ok(())
}

fn serve<S, G, L, R, StartLog, Run>(
    file: &Path,
    start_log: StartLog,
    run: Run,
) -> Result<(), Failure>
where
    S: DeserializeOwned + Checked,
    L: Error,
    R: Error,
    StartLog: FnOnce(&S) -> Result<G, L>,
    Run: FnOnce(S) -> Result<(), R>,
{
    let settings: S = read_settings(file).map_err(unusable)?;
    let _log = start_log(&settings).map_err(unusable)?;
    run(settings).map_err(|e| Failure {
        code: FAILED,
        reason: e.to_string(),
    })
}

fn unusable<E>(e: E) -> Failure
where
    E: Error,
{
    Failure {
        code: UNUSABLE,
        reason: e.to_string(),
    }
}
