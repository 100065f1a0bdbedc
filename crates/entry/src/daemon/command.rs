use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Serve with the settings in this file.
    Serve(PathBuf),
    /// Check this file and say whether it is in order.
    CheckSettings(PathBuf),
}

/// The command line.
pub fn command() -> Command {
    Command::new("jasmine-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers on an entry VM of the users' platform")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The JSON file with this daemon's settings"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit: 0 when it is in order, 2 when not"),
        )
        .after_help("Example:\n  jasmine-entry --settings /etc/jasmine/entry.json --check-settings")
}

/// What the given arguments ask for.
///
/// # Panics
///
/// Never with matches of [`command`], which requires the file.
pub fn start_of(matches: &ArgMatches) -> Start {
    let file = matches
        .get_one::<PathBuf>("settings")
        .expect("required by the command line")
        .clone();
    if matches.get_flag("check-settings") {
        Start::CheckSettings(file)
    } else {
        Start::Serve(file)
    }
}
