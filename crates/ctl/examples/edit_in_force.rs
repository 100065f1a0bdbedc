//! Measures how long an edit takes to be accepted and to be in force on every VM.
//!
//! `cargo run -p jasmine-ctl --example edit_in_force -- <VMs> <edits>`; runs real processes
//! against a fake platform.

use {
    jasmine_conf::tree::{Edit, EditId, EditOp, Path, Setting, Value},
    jasmine_ctl::{
        CtlError,
        cli::{GlobalArgs, OutputFormat},
        client::ApiClient,
    },
    jasmine_testkit::harness::{Cluster, ClusterSpec, OPERATOR_TOKEN, Vm},
    std::time::{Duration, Instant},
};

/// Timeout of a call, and of waiting for one edit.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let vms = numbers.next().unwrap_or(3);
    let edits = numbers.next().unwrap_or(60);
    if let Err(e) = actix_web::rt::System::new().block_on(run(vms, u64::from(edits))) {
        eprintln!("{e}");
    }
}

async fn run(
    vms: u32,
    edits: u64,
) -> Result<(), CtlError> {
    let spec = ClusterSpec {
        vms,
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec)
        .await
        .map_err(|e| CtlError::Usage(e.to_string()))?;
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for n in 0..edits {
        let vm = &cluster.vms[n as usize % cluster.vms.len()];
        let started = Instant::now();
        let id = edit(&client(vm), n).await?;
        accepted.push(started.elapsed());
        let started = Instant::now();
        while !client(vm).progress(&id).await?.everywhere {
            if started.elapsed() > TIMEOUT {
                return Err(CtlError::Usage(format!(
                    "edit {id} is not in force everywhere"
                )));
            }
            actix_web::rt::time::sleep(POLL_INTERVAL).await;
        }
        in_force.push(started.elapsed());
    }
    println!("{vms} VMs, {edits} edits");
    println!("accepted after {}", summary(accepted));
    println!("then in force on every VM after {}", summary(in_force));
    Ok(())
}

async fn edit(
    api: &ApiClient,
    n: u64,
) -> Result<EditId, CtlError> {
    let base = api.tree(&Path::root(), Some(0), None).await?.revision;
    let edit = Edit {
        id: EditId::random(),
        author: "measure".to_owned(),
        base,
        ops: vec![EditOp::Set {
            path: Path::parse("/accounts")?,
            setting: Setting::Weight,
            value: Value::Number(n % 1000 + 1),
        }],
    };
    Ok(api.submit(&edit, false).await?.accepted.edit.id)
}

fn client(vm: &Vm) -> ApiClient {
    ApiClient::new(&GlobalArgs {
        controllers: vec![format!("http://{}", vm.operator_address())],
        token: OPERATOR_TOKEN.to_owned(),
        author: "measure".to_owned(),
        output: OutputFormat::Json,
        timeout: TIMEOUT,
    })
}

fn summary(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_secs_f64() * 1000.0;
    format!(
        "p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms",
        at(50),
        at(99),
        at(100)
    )
}
