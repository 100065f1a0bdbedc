//! `jasmine-controller`: the daemon for configuration, membership, ownership and placement.

use {
    jasmine_conf::settings::{ControllerSettings, check_settings, read_settings},
    jasmine_controller::{
        cli::{CHECK_SETTINGS, SETTINGS, command},
        daemon::{StartError, run},
    },
    std::{path::Path, path::PathBuf, process::ExitCode},
};

/// Exit code for missing or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = command().get_matches();
    let Some(file) = args.get_one::<PathBuf>(SETTINGS) else {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let result = if args.get_flag(CHECK_SETTINGS) {
        check(file)
    } else {
        serve(file)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasmine-controller: {e}");
            match e {
                StartError::Settings(_) => ExitCode::from(EXIT_INVALID_SETTINGS),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn check(file: &Path) -> Result<(), StartError> {
    let line = check_settings::<ControllerSettings>(file)?;
    println!("{line}");
    Ok(())
}

fn serve(file: &Path) -> Result<(), StartError> {
    let settings = read_settings::<ControllerSettings>(file)?;
    actix_web::rt::System::new().block_on(run(settings))
}
