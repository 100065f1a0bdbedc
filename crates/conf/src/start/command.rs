use {
    super::StartAction,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// Builds the command line of the daemon `name`.
pub fn daemon_command(
    name: &'static str,
    version: &'static str,
    about: &'static str,
) -> Command {
    let example =
        format!("Example:\n  {name} --settings /etc/jasmine/{name}.json --check-settings");
    Command::new(name)
        .version(version)
        .about(about)
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
                .help("Check the settings file and exit with 0 if it is valid, 2 if not"),
        )
        .after_help(example)
}

/// Converts the parsed arguments into a [`StartAction`].
///
/// # Panics
///
/// Panics if `matches` does not come from [`daemon_command`], which requires the file.
pub fn parse_start(matches: &ArgMatches) -> StartAction {
    let file = matches
        .get_one::<PathBuf>("settings")
        .expect("required by the command line")
        .clone();
    if matches.get_flag("check-settings") {
        StartAction::CheckSettings(file)
    } else {
        StartAction::Serve(file)
    }
}
