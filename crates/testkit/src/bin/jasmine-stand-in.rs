//! Runs a single stand-in as a process.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    jasmine_testkit::{
        RunningServer,
        engine::{self, EngineSettings},
        platform,
        proxy::{Proxy, start_control},
        service,
        weights::{self, WeightSettings},
    },
    std::{error::Error, net::SocketAddr, process::ExitCode},
};

fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(SocketAddr))
}

fn cli() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .help("Settings as JSON");
    let fencing = Arg::new("checks-fencing")
        .long("checks-fencing")
        .action(ArgAction::SetTrue);
    let subcommands = [
        Command::new("platform").about("Key-value service and VM list"),
        Command::new("weights")
            .about("Weight store")
            .arg(settings.clone()),
        Command::new("engine")
            .about("Model engine")
            .arg(settings)
            .arg(fencing)
            .arg(address("weight-store")),
        Command::new("service").about("Server of a plain service"),
        Command::new("proxy")
            .about(
                "Fault-injecting proxy, controlled by POST /stand-in/link at the control address",
            )
            .arg(address("target").required(true))
            .arg(address("control").default_value("127.0.0.1:0")),
    ];
    let listen = address("listen").default_value("127.0.0.1:0").global(true);
    Command::new("jasmine-stand-in")
        .about("Runs a stand-in for an external system")
        .subcommand_required(true)
        .arg(listen)
        .subcommands(subcommands)
}

fn start(
    name: &str,
    args: &ArgMatches,
) -> Result<RunningServer, Box<dyn Error>> {
    let listen = |name: &str| args.get_one::<SocketAddr>(name).copied();
    let at = listen("listen").unwrap_or(([127, 0, 0, 1], 0).into());
    let settings = || {
        args.get_one::<String>("settings")
            .map_or("{}", String::as_str)
    };
    let running = match name {
        "platform" => platform::start(at)?,
        "weights" => weights::start(at, serde_json::from_str::<WeightSettings>(settings())?)?,
        "service" => service::start(at)?,
        "engine" => {
            let mut cfg: EngineSettings = serde_json::from_str(settings())?;
            cfg.checks_fencing |= args.get_flag("checks-fencing");
            cfg.weight_store = listen("weight-store").or(cfg.weight_store);
            engine::start(at, cfg)?
        }
        _ => {
            let target = listen("target").ok_or("missing --target")?;
            let proxy = Proxy::start(at, target)?;
            let address = proxy.address();
            let control = start_control(listen("control").unwrap_or(at), proxy)?;
            println!(
                "event=listening address={address} control={}",
                control.address()
            );
            return Ok(control);
        }
    };
    println!("event=listening address={}", running.address());
    Ok(running)
}

fn main() -> ExitCode {
    let args = cli().get_matches();
    let Some((name, args)) = args.subcommand() else {
        return ExitCode::from(2);
    };
    match start(name, args) {
        Ok(running) => {
            running.wait();
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("event=start_failed stand_in={name} reason=\"{e}\"");
            ExitCode::FAILURE
        }
    }
}
