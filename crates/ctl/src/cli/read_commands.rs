//! Commands that only read.

use {
    super::args::path,
    clap::{Arg, Command, value_parser},
    jasmine_conf::tree::Setting,
};

/// All of them.
pub(super) fn all() -> [Command; 6] {
    [list(), show(), explain(), history(), fleet(), edit()]
}

fn list() -> Command {
    Command::new("list")
        .about("Lists the nodes at and below a path")
        .after_help("Example:\n  jasminectl list /adapters --depth 1")
        .arg(path().required(false).default_value("/"))
        .arg(
            Arg::new("depth")
                .long("depth")
                .value_name("LEVELS")
                .value_parser(value_parser!(u16))
                .help("Levels below the path; all when absent"),
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Shows a node with every value in force and where it comes from")
        .after_help("Example:\n  jasminectl show /accounts/clinics/san-juan")
        .arg(path())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells which level the value of a setting comes from")
        .after_help("Example:\n  jasminectl explain /accounts/clinics/san-juan rate")
        .arg(path())
        .arg(setting())
}

fn history() -> Command {
    Command::new("history")
        .about("Lists the newest edits about a path, newest first")
        .after_help("Example:\n  jasminectl history /adapters/enrolment --limit 5")
        .arg(path().required(false).default_value("/"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u16).range(1..=5000))
                .default_value("20")
                .help("Edits at most"),
        )
}

fn fleet() -> Command {
    Command::new("fleet")
        .about("Shows every VM: its daemons, the revision in force, the store, engines owned")
        .after_help("Example:\n  jasminectl fleet --output json")
}

fn edit() -> Command {
    let id = Arg::new("id").value_name("ID").required(true);
    Command::new("edit")
        .about("Tells about one edit")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows an accepted edit")
                .arg(id.clone()),
        )
        .subcommand(
            Command::new("status")
                .about("Tells how far an edit is in force on every VM")
                .after_help("Example:\n  jasminectl edit status 0c5e --wait 10")
                .arg(id)
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SECONDS")
                        .value_parser(value_parser!(u64).range(1..=3_600))
                        .help("Waits until it is in force everywhere"),
                ),
        )
}

/// The argument that names a setting.
pub(super) fn setting() -> Arg {
    Arg::new("setting")
        .value_name("SETTING")
        .required(true)
        .value_parser(Setting::ALL.map(|setting| setting.spec().name))
        .hide_possible_values(true)
        .help("Name of the setting, such as rate")
}
