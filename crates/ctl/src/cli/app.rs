use {
    super::{edit_commands, read_commands},
    clap::{Arg, Command},
};

const EXAMPLES: &str = "\
Examples:
  export JASMINE_CONTROLLERS=10.0.0.1:7000,10.0.0.2:7000 JASMINE_TOKEN_FILE=~/.jasmine-token
  jasminectl create /accounts/clinics/san-juan account rate=500 burst=5000
  jasminectl key issue /accounts/clinics/san-juan phones
  jasminectl adapter add-version /adapters/enrolment enrolment-v4 --live --wait 10
  jasminectl explain /accounts/clinics/san-juan rate
  jasminectl fleet

Environment:
  JASMINE_CONTROLLERS  addresses of controllers, separated by commas, tried in turn
  JASMINE_TOKEN        the operators' token
  JASMINE_TOKEN_FILE   a file that contains the token
  JASMINE_AUTHOR       your name, for the history

Exit codes:
  0  success
  1  internal error: a response was invalid, or output could not be written
  2  the command line, the environment or a file is invalid
  3  refused: the edit is invalid, or the requested object does not exist
  4  refused: the edit conflicts with another one
  5  no controller, or no store behind it, could be reached; nothing was changed
  6  unknown whether the edit was accepted
  7  the operators' token is missing or wrong
  8  accepted, but not in force on every VM within --wait";

/// Defines the command line.
pub fn app() -> Command {
    Command::new("jasminectl")
        .about("Edits the configuration of a jasminespan fleet and shows its state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands(read_commands::all())
        .subcommands(edit_commands::all())
        .subcommand(trace())
        .subcommand(completion())
}

fn global_args() -> [Arg; 5] {
    [
        Arg::new("controller")
            .long("controller")
            .short('c')
            .value_name("ADDRESS")
            .action(clap::ArgAction::Append)
            .global(true)
            .help("Address of a controller's operator API; may be given several times"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .help("File that contains the operators' token"),
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .global(true)
            .help("Your name, for the history"),
        Arg::new("output")
            .long("output")
            .short('o')
            .value_name("FORMAT")
            .value_parser(["table", "json"])
            .default_value("table")
            .global(true)
            .help("Human-readable tables, or JSON for scripts"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .value_parser(clap::value_parser!(u64).range(1..=600))
            .default_value("10")
            .global(true)
            .help("Timeout of a call to one controller"),
    ]
}

fn trace() -> Command {
    Command::new("trace")
        .about("Traces a request through the daemons' logs; needs no controller")
        .after_help("Example:\n  jasminectl trace 9c41d07be2a35f68 vm-1.log vm-2.log")
        .arg(
            Arg::new("id")
                .value_name("REQUEST-ID")
                .required(true)
                .help("Id of the request"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(std::path::PathBuf))
                .help("Log file of a daemon; its name without extension names the process"),
        )
}

fn completion() -> Command {
    Command::new("completion")
        .about("Prints a completion script for a shell")
        .after_help("Example:\n  jasminectl completion bash > /etc/bash_completion.d/jasminectl")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(clap::value_parser!(clap_complete::Shell)),
        )
}
