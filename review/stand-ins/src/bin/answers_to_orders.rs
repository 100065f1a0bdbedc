//! Second answers of requests come late, where the answers to orders are expected.

use {
    jasmine_platform_stand_in::KvStandIn,
    review_stand_ins::{
        client::Client,
        daemon::{config, request, start_all},
        engine::{BEYOND_PLACES, Conduct, Engine},
        has_trouble, pause,
        record::Record,
    },
    std::{
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const RUN_TIME: Duration = Duration::from_secs(80);
/// Servers, of five, whose answers come twice: a share of 0.6.
const SPOILING_SERVERS: u64 = 3;
/// Most answers that come twice, in a thousand of all answers of such a server.
const MAX_SECOND_PER_MILLE: u64 = 30;

fn main() {
    let record = Record::create();
    let store = KvStandIn::start().expect("the store listens");
    store.put("op/config", &config(1));
    let answers = Arc::new(AtomicU64::new(0));
    let over_capacity = Arc::new(Mutex::new(Vec::<String>::new()));
    let seconds = Arc::new(AtomicU64::new(0));
    for number in 1..=5_u64 {
        let told = record.clone();
        let total = Arc::clone(&answers);
        let own = Arc::<AtomicU64>::default();
        let own_total = Arc::clone(&own);
        let over = Arc::clone(&over_capacity);
        let watch = move |server: &str, what: &str, id: &str| {
            told.line(&format!("server {server}: {what} {id}"));
            total.fetch_add(u64::from(what == "arrived"), Ordering::Relaxed);
            own_total.fetch_add(u64::from(what == "arrived"), Ordering::Relaxed);
            if what == BEYOND_PLACES {
                over.lock().unwrap().push(format!("{server}: {id}"));
            }
        };
        let (spoilt, own_spoilt) = (Arc::clone(&seconds), AtomicU64::new(0));
        let own_spoilt = Arc::new(own_spoilt);
        let is_spoiling = has_trouble() && number <= SPOILING_SERVERS;
        let spoils = move |status: u16| {
            let allowed = own.load(Ordering::Relaxed) * MAX_SECOND_PER_MILLE / 1_000;
            let is_spoilt =
                is_spoiling && status == 0 && own_spoilt.load(Ordering::Relaxed) < allowed;
            spoilt.fetch_add(u64::from(is_spoilt), Ordering::Relaxed);
            own_spoilt.fetch_add(u64::from(is_spoilt), Ordering::Relaxed);
            is_spoilt
        };
        let conduct = Conduct {
            order: Duration::from_millis(80),
            first_event: Duration::from_millis(30),
            gap: Duration::from_millis(10),
            ..Conduct::default()
        };
        let engine = Engine::start(&format!("e-{number}"), conduct, watch, spoils);
        store.put(&engine.key(), &engine.entry());
    }
    let rare: u64 = std::env::var("RARE")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(80);
    let daemons = start_all(&store, 3);
    let until = Instant::now() + RUN_TIME;
    let ends = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for client in 0..60_u64 {
            // A hash of the client decides; the leader happens to have two thirds.
            let daemon = [0, 1, 0, 2, 0, 0][client as usize % 6];
            let address = daemons[daemon].callers;
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            scope.spawn(move || {
                let mut connection = Client::new(address);
                for number in 0_u64.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    // Mostly a few busy adapters; now and then one that is rarely asked for.
                    let adapter = match number % rare {
                        0 => 100 + client * 45 + number / rare,
                        _ => client % 3,
                    };
                    let headers = format!(
                        "X-Model: base/a{adapter}\r\nX-Token-Counts: 800,22\r\nX-Prompt-Prefix: c1:568,{client:x}{number:x}:232\r\n"
                    );
                    let bytes = request("POST", "/summary/x", &id, &headers, "prompt");
                    record.line(&format!("client sends {id} for a{adapter}"));
                    let answer = connection.send(&bytes).unwrap_or_default();
                    let text = answer.text();
                    let told = if answer.status == 200 { "" } else { text.trim() };
                    record.line(&format!("client gets {} for {id} {told}", answer.status));
                    let is_foreign = text.contains("seq differs")
                        || answer.status == 200 && !text.contains(&format!(" of {id} at"));
                    ends.lock().unwrap().push((id, answer.status, is_foreign));
                    pause(60);
                }
            });
        }
    });
    let ends = ends.lock().unwrap();
    let count = |wanted: u16| {
        ends.iter()
            .filter(|(_, status, _)| *status == wanted)
            .count()
    };
    let foreign: Vec<_> = ends
        .iter()
        .filter(|(_, _, is_foreign)| *is_foreign)
        .collect();
    record.say(&format!(
        "{} requests, {} answers 200, {} 502, {} 409, {} arrivals, {} second answers; answers to something else: {}",
        ends.len(),
        count(200),
        count(502),
        count(409),
        answers.load(Ordering::Relaxed),
        seconds.load(Ordering::Relaxed),
        foreign.len()
    ));
    for (id, status, _) in &foreign {
        record.say(&format!("MIXED: {id} got {status}, the answer to an order"));
    }
    let over_capacity = over_capacity.lock().unwrap();
    for order in over_capacity.iter() {
        record.say(&format!("LIMIT: loads beyond the places of {order}"));
    }
    record.flush();
    drop(daemons);
    let is_broken = match std::env::var("RULE").as_deref() {
        Ok("LIMIT") => !over_capacity.is_empty(),
        _ => !foreign.is_empty(),
    };
    exit(i32::from(is_broken));
}
