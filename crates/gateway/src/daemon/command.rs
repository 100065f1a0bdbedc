use {clap::Command, jasmine_conf::start::daemon_command};

/// Returns the command-line definition.
pub fn command() -> Command {
    daemon_command(
        "jasmine-gateway",
        env!("CARGO_PKG_VERSION"),
        "Serves callers: admits, queues, routes and forwards their requests",
    )
}
