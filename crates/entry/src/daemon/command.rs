use {clap::Command, jasmine_conf::start::daemon_command};

/// Builds the command-line parser.
pub fn command() -> Command {
    daemon_command(
        "jasmine-entry",
        env!("CARGO_PKG_VERSION"),
        "Serves callers on an entry VM of the users' platform",
    )
}
