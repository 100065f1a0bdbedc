//! Definitions of the commands that edit the configuration tree.

use {
    super::{
        args::{edit_args, path, settings},
        read_commands::setting,
    },
    clap::{Arg, ArgAction, Command, value_parser},
    jasmine_conf::tree::NodeKind,
};

/// All edit commands.
pub(super) fn all() -> [Command; 8] {
    [
        create(),
        set(),
        unset(),
        delete(),
        apply(),
        key(),
        adapter(),
        upstream(),
    ]
}

fn create() -> Command {
    Command::new("create")
        .about("Creates a node")
        .after_help(
            "Examples:\n  jasminectl create /accounts/clinics group priority=high\n  \
             jasminectl create /upstreams/gt-1/engine-1 engine address=10.0.1.1:8000 data_centre=gt-1 model=base-8b",
        )
        .arg(path())
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .required(true)
                .value_parser(NodeKind::ALL.map(NodeKind::name))
                .help("Kind of the node"),
        )
        .arg(settings())
        .args(edit_args())
}

fn set() -> Command {
    Command::new("set")
        .about("Sets settings of a node; levels below inherit them")
        .after_help("Example:\n  jasminectl set /accounts/clinics rate=800 burst=4000")
        .arg(path())
        .arg(settings().num_args(1..).required(true))
        .args(edit_args())
}

fn unset() -> Command {
    Command::new("unset")
        .about("Removes a setting from a node, so that it is inherited again")
        .after_help("Example:\n  jasminectl unset /accounts/clinics/san-juan rate")
        .arg(path())
        .arg(setting())
        .args(edit_args())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Removes a node and everything below it")
        .after_help("Example:\n  jasminectl delete /adapters/old --dry-run")
        .arg(path())
        .args(edit_args())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Applies all ops of a JSON file atomically, as one edit")
        .after_help(
            "The file is a list of ops, or an object with a list \"ops\":\n\n  \
             [{\"op\": \"create\", \"path\": \"/accounts/farm\", \"kind\": \"account\", \"settings\": {\"rate\": 100}},\n   \
             {\"op\": \"set\", \"path\": \"/accounts\", \"setting\": \"weight\", \"value\": 50},\n   \
             {\"op\": \"unset\", \"path\": \"/accounts\", \"setting\": \"burst\"},\n   \
             {\"op\": \"delete\", \"path\": \"/accounts/old\"}]\n\n\
             Example:\n  jasminectl apply new-season.json --dry-run",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("The JSON file, or - for standard input"),
        )
        .args(edit_args())
}

fn key() -> Command {
    Command::new("key")
        .about("Issues and withdraws API keys of client accounts")
        .subcommand_required(true)
        .subcommand(
            Command::new("issue")
                .about("Creates a key of a client account and prints it; it can't be shown again")
                .after_help("Example:\n  jasminectl key issue /accounts/clinics/san-juan phones")
                .arg(path())
                .arg(
                    Arg::new("name")
                        .value_name("NAME")
                        .required(true)
                        .help("Name of the key below the account"),
                )
                .args(edit_args()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key permanently and closes its open requests")
                .after_help(
                    "Example:\n  jasminectl key withdraw /accounts/clinics/san-juan/phones --wait 10",
                )
                .arg(path())
                .args(edit_args()),
        )
}

fn adapter() -> Command {
    Command::new("adapter")
        .about("Manages the versions of an adapter")
        .subcommand_required(true)
        .subcommand(
            Command::new("add-version")
                .about("Adds the next version of an adapter")
                .after_help(
                    "Example:\n  jasminectl adapter add-version /adapters/enrolment enrolment-v4 --live",
                )
                .arg(path())
                .arg(
                    Arg::new("weights")
                        .value_name("WEIGHTS")
                        .required(true)
                        .help("Name of the weights in the weight store"),
                )
                .arg(
                    Arg::new("live")
                        .long("live")
                        .action(ArgAction::SetTrue)
                        .help("Makes the new version live in the same edit"),
                )
                .args(edit_args()),
        )
        .subcommand(
            Command::new("live")
                .about("Makes a version live: requests that name no version get it")
                .after_help("Example:\n  jasminectl adapter live /adapters/enrolment 3")
                .arg(path())
                .arg(
                    Arg::new("version")
                        .value_name("VERSION")
                        .required(true)
                        .value_parser(value_parser!(u32).range(1..)),
                )
                .args(edit_args()),
        )
        .subcommand(
            Command::new("rollback")
                .about("Makes the previously live version live again")
                .after_help("Example:\n  jasminectl adapter rollback /adapters/enrolment --wait 10")
                .arg(path())
                .args(edit_args()),
        )
}

fn upstream() -> Command {
    Command::new("upstream")
        .about("Drains and resumes upstreams")
        .subcommand_required(true)
        .subcommand(
            Command::new("drain")
                .about("Sends no new requests to an upstream or to all upstreams of a group")
                .after_help(
                    "Example:\n  jasminectl upstream drain /upstreams/gt-1/engine-1 --wait 10",
                )
                .arg(path())
                .args(edit_args()),
        )
        .subcommand(
            Command::new("resume")
                .about("Sends requests to an upstream or to all upstreams of a group again")
                .arg(path())
                .args(edit_args()),
        )
}
