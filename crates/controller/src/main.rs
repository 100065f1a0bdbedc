//! `jasmine-controller`: the daemon for configuration, membership, ownership and placement.

use {
    jasmine_conf::settings::{ControllerSettings, check_settings, read_settings},
    jasmine_controller::{
        cli::{CHECK_SETTINGS, SETTINGS, command},
        daemon::{StartError, run},
    },
    std::{path::Path, path::PathBuf, process::ExitCode},
};

/// The exit code after settings that are not in order.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = command().get_matches();
    let Some(file) = args.get_one::<PathBuf>(SETTINGS) else {
        return ExitCode::from(BAD_SETTINGS);
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
                StartError::Settings(_) => ExitCode::from(BAD_SETTINGS),
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
