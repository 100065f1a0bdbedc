//! The gateway daemon, which serves the requests of callers.

use {
    jasmine_conf::{settings::GatewaySettings, start::daemon_main},
    jasmine_gateway::daemon::{command, run},
    jasmine_telemetry::log::{LogOutput, start},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    daemon_main(
        command(),
        |settings: &GatewaySettings| {
            let level = settings.log.level.to_string();
            start(&level, LogOutput::Stderr)
        },
        |settings| actix_rt::System::new().block_on(run(settings)),
    )
}
