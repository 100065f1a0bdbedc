use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::path::PathBuf,
};

/// Argument id of the path of the settings file.
pub const SETTINGS: &str = "settings";

/// Argument id of the flag that only checks the settings file.
pub const CHECK_SETTINGS: &str = "check-settings";

/// Builds the command line parser of `jasmine-controller`.
pub fn command() -> Command {
    Command::new("jasmine-controller")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Keeps configuration, membership and adapter placement of one VM")
        .arg(
            Arg::new(SETTINGS)
                .long(SETTINGS)
                .value_name("FILE")
                .help("The settings file, JSON")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new(CHECK_SETTINGS)
                .long(CHECK_SETTINGS)
                .help("Check the settings file and exit")
                .action(ArgAction::SetTrue),
        )
}
