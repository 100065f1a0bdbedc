use {
    super::{
        arrivals::{Arrival, LoadPattern},
        sample::Sample,
    },
    crate::{client::Call, engine::answer, harness::Cluster},
    awc::{Client, Connector},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::mpsc::{self, Sender},
        thread,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Sender threads, enough that the load generator is not the bottleneck.
const THREADS: usize = 4;

/// Maximum number of open connections per thread.
const MAX_CONNECTIONS: usize = 4096;

/// `max_tokens` of each request.
const MAX_TOKENS: u32 = 64;

/// Tokens that the gateway charges in addition to the bytes of a one-message prompt.
const TEMPLATE_COST: u64 = 16;

/// Gateway addresses by VM and API keys by account.
#[derive(Clone, Debug)]
struct Targets {
    gateways: Vec<SocketAddr>,
    keys: Vec<String>,
}

/// Sends an open-loop load and returns a sample per request.
pub async fn drive(
    cluster: &Cluster,
    load: LoadPattern,
    run: Duration,
    seed: u64,
) -> Vec<Sample> {
    let spec = cluster.spec();
    let run_ms = run.as_millis() as u64;
    let arrivals = load.arrivals(&spec.accounts, spec.vms, spec.adapters, run_ms, seed);
    let names = spec.accounts.iter().map(|account| &account.name);
    let targets = Targets {
        gateways: cluster
            .vms
            .iter()
            .map(crate::harness::Vm::caller_address)
            .collect(),
        keys: names.map(|name| cluster.key(name).to_owned()).collect(),
    };
    let start = Instant::now();
    let (tx, rx) = mpsc::channel();
    let threads = (0..THREADS).map(|thread| {
        let thread_arrivals = arrivals
            .iter()
            .skip(thread)
            .step_by(THREADS)
            .cloned()
            .collect();
        let (targets, tx) = (targets.clone(), tx.clone());
        thread::spawn(move || {
            actix_web::rt::System::new().block_on(send_all(thread_arrivals, targets, start, tx));
        })
    });
    let threads: Vec<_> = threads.collect();
    drop(tx);
    let joined = actix_web::rt::task::spawn_blocking(move || {
        for thread in threads {
            drop(thread.join());
        }
    });
    drop(joined.await);
    let mut samples: Vec<_> = rx.into_iter().collect();
    samples.sort_by_key(|sample: &Sample| sample.sent_ms);
    samples
}

async fn send_all(
    thread_arrivals: Vec<Arrival>,
    targets: Targets,
    start: Instant,
    tx: Sender<Sample>,
) {
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let client = Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish();
    let targets = Rc::new(targets);
    let mut tasks = Vec::with_capacity(thread_arrivals.len());
    for arrival in thread_arrivals {
        time::sleep_until((start + Duration::from_millis(arrival.at_ms)).into()).await;
        let (client, targets, tx) = (client.clone(), Rc::clone(&targets), tx.clone());
        tasks.push(actix_web::rt::spawn(async move {
            drop(tx.send(send(&client, &targets, &arrival, start).await));
        }));
    }
    for task in tasks {
        drop(task.await);
    }
}

async fn send(
    client: &Client,
    targets: &Targets,
    arrival: &Arrival,
    start: Instant,
) -> Sample {
    let sent_ms = start.elapsed().as_millis() as u64;
    let text = format!(
        "Summarise the policy of device {:016x} in {} words.",
        arrival.number,
        arrival.number % 90
    );
    let to = targets.gateways[arrival.vm as usize - 1];
    let model = format!("notes-{}", arrival.adapter);
    let call = Call::chat(
        to,
        &targets.keys[arrival.account],
        &model,
        &text,
        MAX_TOKENS,
        true,
    );
    let outcome = call.send_with(client).await;
    let expected = answer(
        &format!("{model}-v1"),
        &format!("user: {text}\n"),
        MAX_TOKENS,
    )
    .concat();
    let cost_bound = text.len() as u64 + TEMPLATE_COST + u64::from(MAX_TOKENS);
    Sample::new(arrival.account, sent_ms, cost_bound, &expected, outcome)
}
