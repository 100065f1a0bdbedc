//! Runs a local cluster with stand-ins until it is stopped.

use {
    awc::http::Method,
    clap::{Arg, ArgAction, Command},
    jasmine_testkit::{
        client::{Answer, Call},
        harness::{Cluster, ClusterSpec, OPERATOR_TOKEN},
    },
    std::{error::Error, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

fn print_usage(cluster: &Cluster) {
    println!("Callers' addresses:");
    for vm in &cluster.vms {
        println!("  VM {}  http://{}", vm.number, vm.caller_address());
    }
    println!("Operators' addresses (bearer token {OPERATOR_TOKEN}):");
    for vm in &cluster.vms {
        println!("  VM {}  http://{}", vm.number, vm.operator_address());
    }
    println!("Keys, shown this once:");
    for account in &cluster.spec().accounts {
        println!("  {:8} {}", account.name, cluster.key(&account.name));
    }
    let (callers, key) = (cluster.caller_address(1), cluster.key("courier"));
    println!("Try:");
    println!("  curl http://{callers}/v1/models -H 'Authorization: Bearer {key}'");
    println!(
        "  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n    \
         -d '{{\"model\":\"notes-1@2\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
    );
    println!(
        "  curl -X POST http://{callers}/services/phones/phones/17/enrolment \\\n    \
         -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: e-17' -d '{{\"profile\":\"courier\"}}'"
    );
}

/// Sends a few requests; returns whether all answers are as expected.
async fn check(cluster: &Cluster) -> Result<bool, Box<dyn Error>> {
    let key = cluster.key("courier");
    let chat =
        |vm, model, stream| Call::chat(cluster.caller_address(vm), key, model, "Hello", 20, stream);
    let enrol = Call::new(
        cluster.caller_address(3),
        Method::POST,
        "/services/phones/phones/17/enrolment",
    );
    let calls = [
        ("chat, whole", chat(1, "notes-1", false), "notes-1@1"),
        ("chat, streamed", chat(2, "notes-1@2", true), "notes-1@2"),
        ("chat, base model", chat(3, "base", true), ""),
        ("service call", enrol.key(key), ""),
    ];
    let mut all_ok = true;
    for (label, call, adapter) in calls {
        let answer = call.send().await?;
        all_ok &= answer.is_complete() && answer.header("x-jasmine-adapter") == adapter;
        println!("{label:18} {}", describe(&answer));
    }
    let unknown = Call::chat(
        cluster.caller_address(1),
        "no-such-key",
        "notes-1",
        "Hello",
        20,
        false,
    );
    let unknown = unknown.send().await?;
    println!("{:18} {}", "unknown key", describe(&unknown));
    Ok(all_ok && unknown.status == 401)
}

fn describe(answer: &Answer) -> String {
    format!(
        "{} {} in {} ms, {} parts, adapter \"{}\", {}{}",
        answer.status,
        answer.header("x-request-id"),
        answer.took.as_millis(),
        answer.parts.len(),
        answer.header("x-jasmine-adapter"),
        answer.text,
        answer.code(),
    )
}

async fn run(only_check: bool) -> Result<bool, Box<dyn Error>> {
    println!("Building and starting 3 VMs, 9 engines and 3 servers ...");
    let cluster = Cluster::start(ClusterSpec::demo()).await?;
    print_usage(&cluster);
    if only_check {
        return check(&cluster).await;
    }
    println!("Serving; Ctrl-C stops.");
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupted = actix_web::rt::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    println!("Stopping.");
    Ok(true)
}

fn main() -> ExitCode {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Send a few requests, print the answers and exit");
    let args = Command::new("jasmine-demo")
        .about("Runs a local cluster with stand-ins")
        .arg(check)
        .get_matches();
    match actix_web::rt::System::new().block_on(run(args.get_flag("check"))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("Not every request came back as it should.");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
