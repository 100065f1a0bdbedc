//! The entry VMs' daemon.

use {
    jasmine_conf::{settings::EntrySettings, start::daemon_main},
    jasmine_entry::daemon::{command, run},
    jasmine_telemetry::log::{LogOutput, start},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    daemon_main(
        command(),
        |settings: &EntrySettings| {
            let level = settings.log.level.to_string();
            start(&level, LogOutput::BoundedStdout)
        },
        |settings| actix_rt::System::new().block_on(run(settings)),
    )
}
