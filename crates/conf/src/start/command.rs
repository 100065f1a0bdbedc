use {
    super::Start,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// The command line of the daemon `name`, of this `version`.
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
                .help("Check the settings file and exit: 0 when it is in order, 2 when not"),
        )
        .after_help(example)
}

/// What the given arguments ask for.
///
/// # Panics
///
/// Never with matches of [`daemon_command`], which requires the file.
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
