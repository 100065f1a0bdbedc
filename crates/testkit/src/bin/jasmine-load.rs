//! Load-tests a cluster of real daemon processes and prints a report.

use {
    clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser},
    jasmine_testkit::{
        harness::{Cluster, ClusterSpec, Daemon},
        load::{AccountReport, LoadPattern, Report, drive, measure_overhead},
    },
    std::{error::Error, fs, process::ExitCode, time::Duration},
};

fn number(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn cli() -> Command {
    Command::new("jasmine-load")
        .about("Load-tests a cluster of real daemon processes and prints a report")
        .arg(
            Arg::new("load")
                .long("load")
                .default_value("steady")
                .value_parser(PossibleValuesParser::new(
                    LoadPattern::ALL.map(LoadPattern::name),
                ))
                .help("Pattern of request arrivals"),
        )
        .arg(number(
            "warm-up",
            "60",
            "Seconds of load before the measurement",
        ))
        .arg(number("seconds", "60", "Seconds of measurement"))
        .arg(number("vms", "3", "Number of VMs"))
        .arg(number("engines", "9", "Number of engines"))
        .arg(number("adapters", "300", "Number of adapters"))
        .arg(number("seed", "1", "Seed of the generated requests"))
        .arg(
            Arg::new("json")
                .long("json")
                .help("Writes the report to this file as JSON"),
        )
}

async fn run(args: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let number = |name: &str| args.get_one::<u32>(name).copied().unwrap_or_default();
    let load = args
        .get_one::<String>("load")
        .and_then(|name| LoadPattern::from_name(name))
        .unwrap_or(LoadPattern::Steady);
    let spec = ClusterSpec {
        vms: number("vms"),
        engines: number("engines"),
        adapters: number("adapters"),
        ..ClusterSpec::demo()
    };
    let cluster = Cluster::start(spec).await?;
    let overhead = measure_overhead(&cluster).await?;
    let before = cpu_times_ms(&cluster);
    let warm_up = Duration::from_secs(number("warm-up").into());
    let run = Duration::from_secs(number("seconds").into());
    let samples = drive(&cluster, load, warm_up + run, number("seed").into()).await;
    let from_ms = warm_up.as_millis() as u64;
    let accounts = cluster.spec().accounts.iter().enumerate();
    let mut report = Report {
        load: load.name().to_owned(),
        seconds: run.as_secs(),
        accounts: accounts
            .map(|(index, spec)| AccountReport::new(index, spec, &samples, from_ms))
            .collect(),
        cpu_ms: cpu_times_ms(&cluster)
            .iter()
            .zip(before)
            .map(|(now, then)| now - then)
            .collect(),
        overhead,
        ..Report::default()
    };
    report.add_engine_records(&cluster.upstreams.engine_records().await);
    print!("{report}");
    if let Some(file) = args.get_one::<String>("json") {
        fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}

fn cpu_times_ms(cluster: &Cluster) -> Vec<u64> {
    let gateways = cluster.vms.iter().filter_map(|vm| vm.gateway.as_ref());
    let controllers = cluster.vms.iter().filter_map(|vm| vm.controller.as_ref());
    gateways.chain(controllers).map(Daemon::cpu_ms).collect()
}

fn main() -> ExitCode {
    let args = cli().get_matches();
    match actix_web::rt::System::new().block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
