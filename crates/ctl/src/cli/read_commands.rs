//! Definitions of the read-only commands.

use {
    super::args::path,
    clap::{Arg, Command, value_parser},
    jasmine_conf::tree::Setting,
};

/// All read-only commands.
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
                .help("Levels below the path; all if not given"),
        )
}

fn show() -> Command {
    Command::new("show")
        .about("Shows a node with each value in force and the level it comes from")
        .after_help("Example:\n  jasminectl show /accounts/clinics/san-juan")
        .arg(path())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows which level the value of a setting comes from")
        .after_help("Example:\n  jasminectl explain /accounts/clinics/san-juan rate")
        .arg(path())
        .arg(setting())
}

fn history() -> Command {
    Command::new("history")
        .about("Lists the edits that touch a path, newest first")
        .after_help("Example:\n  jasminectl history /adapters/enrolment --limit 5")
        .arg(path().required(false).default_value("/"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u16).range(1..=5000))
                .default_value("20")
                .help("Maximum number of edits"),
        )
}

fn fleet() -> Command {
    Command::new("fleet")
        .about("Shows each VM: its daemons, the revision in force, the store and the engines owned")
        .after_help("Example:\n  jasminectl fleet --output json")
}

fn edit() -> Command {
    let id = Arg::new("id").value_name("ID").required(true);
    Command::new("edit")
        .about("Shows an edit or its progress")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows an accepted edit")
                .arg(id.clone()),
        )
        .subcommand(
            Command::new("status")
                .about("Shows on which VMs an edit is in force")
                .after_help("Example:\n  jasminectl edit status 0c5e --wait 10")
                .arg(id)
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .value_name("SECONDS")
                        .value_parser(value_parser!(u64).range(1..=3_600))
                        .help("Waits until the edit is in force on every VM"),
                ),
        )
}

/// The positional name of a setting.
pub(super) fn setting() -> Arg {
    Arg::new("setting")
        .value_name("SETTING")
        .required(true)
        .value_parser(Setting::ALL.map(|setting| setting.spec().name))
        .hide_possible_values(true)
        .help("Name of the setting, such as rate")
}
