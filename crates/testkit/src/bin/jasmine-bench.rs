//! Runs the scheduling simulation and optionally compares the result with an earlier one.

use {
    clap::{Arg, Command, value_parser},
    jasmine_testkit::decisions::{
        Policy, RunMetrics, Scenario, Workload, compare, run, table, total_slots,
    },
    std::{error::Error, fs, path::PathBuf},
};

fn command() -> Command {
    Command::new("jasmine-bench")
        .about("Simulates the scheduling decisions under load and prints the metrics")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .help("Runs only the scenario with this name"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .help("Runs only the policy with this name"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the result to this file as JSON"),
        )
        .arg(
            Arg::new("before")
                .long("before")
                .value_parser(value_parser!(PathBuf))
                .help("JSON file of an earlier result to compare with"),
        )
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = command().get_matches();
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let only = args.get_one::<String>("load");
    let by_policy = args.get_one::<String>("policy");
    let mut all = Vec::new();
    for scenario in Scenario::ALL {
        if only.is_some_and(|only| *only != scenario.to_string()) {
            continue;
        }
        let best = Workload::generate(scenario, seed).best_static_hit_rate(total_slots());
        println!(
            "{scenario}: best static placement has a hit rate of {:.1} %",
            best * 100.0
        );
        let policies = Policy::ALL
            .into_iter()
            .filter(|policy| by_policy.is_none_or(|name| *name == policy.to_string()));
        all.extend(policies.map(|policy| run(scenario, policy, seed)));
    }
    print!("{}", table(&all));
    if let Some(path) = args.get_one::<PathBuf>("before") {
        let before: Vec<RunMetrics> = serde_json::from_slice(&fs::read(path)?)?;
        print!("{}", compare(&before, &all));
    }
    if let Some(path) = args.get_one::<PathBuf>("out") {
        fs::write(path, serde_json::to_string_pretty(&all)?)?;
    }
    Ok(())
}
