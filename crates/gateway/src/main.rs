//! The callers' daemon.

use {
    jasmine_conf::{
        settings::{GatewaySettings, check_settings, read_settings},
        start::{Start, start_of},
    },
    jasmine_gateway::daemon::{command, run},
    jasmine_telemetry::log::{LogOutput, start as start_log},
    std::{path::Path, process::ExitCode},
};

/// The exit code for settings or arguments that can't be used.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    match start_of(&command().get_matches()) {
        Start::CheckSettings(file) => match check_settings::<GatewaySettings>(&file) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e, UNUSABLE),
        },
        Start::Serve(file) => serve(&file),
    }
}

fn serve(file: &Path) -> ExitCode {
    let settings: GatewaySettings = match read_settings(file) {
        Ok(settings) => settings,
        Err(e) => return fail(&e, UNUSABLE),
    };
    let level = settings.log.level.to_string();
    let _log = match start_log(&level, LogOutput::Stderr) {
        Ok(log) => log,
        Err(e) => return fail(&e, UNUSABLE),
    };
    match actix_rt::System::new().block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e, 1),
    }
}

fn fail(
    e: &dyn std::error::Error,
    code: u8,
) -> ExitCode {
    eprintln!("jasmine-gateway: {e}");
    ExitCode::from(code)
}
