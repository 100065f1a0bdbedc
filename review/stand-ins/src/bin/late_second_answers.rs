//! A second answer to a refused attempt comes late, where the answer to the next attempt of the same request is expected.

use {
    jasmine_platform_stand_in::KvStandIn,
    review_stand_ins::{
        client::Client,
        daemon::{config, request, start_all},
        engine::{Conduct, Engine},
        has_trouble, pause,
        record::Record,
    },
    std::{
        collections::BTreeMap,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const RUN_TIME: Duration = Duration::from_secs(95);
/// Servers, of five, whose answers come twice: a share of 0.6.
const SPOILING_SERVERS: u64 = 3;
/// Most answers that come twice, in a thousand of all answers of such a server.
const MAX_SECOND_PER_MILLE: u64 = 30;

fn main() {
    let record = Record::create();
    let store = KvStandIn::start().expect("the store listens");
    store.put("op/config", &config(1));
    let runs = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    let answers = Arc::new(AtomicU64::new(0));
    let seconds = Arc::new(AtomicU64::new(0));
    for number in 1..=5_u64 {
        let (told, counted) = (record.clone(), Arc::clone(&runs));
        let total = Arc::clone(&answers);
        let own = Arc::<AtomicU64>::default();
        let own_total = Arc::clone(&own);
        let watch = move |server: &str, what: &str, id: &str| {
            told.line(&format!("server {server}: {what} {id}"));
            match what {
                "arrived" => {
                    total.fetch_add(1, Ordering::Relaxed);
                    own_total.fetch_add(1, Ordering::Relaxed);
                }
                "ran" => *counted.lock().unwrap().entry(id.to_owned()).or_default() += 1,
                _ => {}
            }
        };
        let (spoilt, own_spoilt) = (Arc::clone(&seconds), AtomicU64::new(0));
        let own_spoilt = Arc::new(own_spoilt);
        let is_spoiling = has_trouble() && number <= SPOILING_SERVERS;
        let spoils = move |_status: u16| {
            let allowed = own.load(Ordering::Relaxed) * MAX_SECOND_PER_MILLE / 1_000;
            let is_spoilt = is_spoiling && own_spoilt.load(Ordering::Relaxed) < allowed;
            spoilt.fetch_add(u64::from(is_spoilt), Ordering::Relaxed);
            own_spoilt.fetch_add(u64::from(is_spoilt), Ordering::Relaxed);
            is_spoilt
        };
        // Loads from the shared store take 250 ms and, when others load too, somewhat longer.
        let times = [250, 260, 300, 280, 330, 270];
        let conduct = Conduct {
            load_times: times.map(Duration::from_millis).to_vec(),
            ..Conduct::default()
        };
        let engine = Engine::start(&format!("e-{number}"), conduct, watch, spoils);
        store.put(&engine.key(), &engine.entry());
    }
    let daemons = start_all(&store, 3);
    let until = Instant::now() + RUN_TIME;
    let ends = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for client in 0..9_u64 {
            let address = daemons[client as usize % daemons.len()].callers;
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            scope.spawn(move || {
                let mut connection = Client::new(address);
                for number in 0_u64.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    // Mostly a few busy adapters; now and then one that is rarely asked for.
                    let adapter = match number % 8 {
                        0 => 100 + client * 300 + number / 8,
                        _ => client % 3,
                    };
                    let headers = format!(
                        "X-Model: base/a{adapter}\r\nX-Token-Counts: 800,22\r\nX-Prompt-Prefix: c1:568,{client:x}{number:x}:232\r\n"
                    );
                    let bytes = request("POST", "/summary/x", &id, &headers, "prompt");
                    record.line(&format!("client sends {id} for a{adapter}"));
                    let answer = connection.send(&bytes);
                    let status = answer.as_ref().map_or(0, |it| it.status);
                    record.line(&format!("client gets {status} for {id}"));
                    ends.lock().unwrap().push((id, status));
                    pause(40);
                }
            });
        }
    });
    pause(500);
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    let ends = ends.lock().unwrap();
    let promised = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let refused: Vec<_> = ends
        .iter()
        .filter(|(id, status)| promised(*status) && runs.contains_key(id))
        .collect();
    record.say(&format!(
        "{} requests, {} answers 200, {} arrivals, {} second answers; ran twice: {}; answered as not run, though run: {}",
        ends.len(),
        ends.iter().filter(|(_, status)| *status == 200).count(),
        answers.load(Ordering::Relaxed),
        seconds.load(Ordering::Relaxed),
        twice.len(),
        refused.len()
    ));
    for (id, runs) in &twice {
        record.say(&format!("TWICE: {id} ran {runs} times"));
    }
    for (id, status) in &refused {
        record.say(&format!("REFUSED: {id} was answered {status} and ran"));
    }
    record.flush();
    for daemon in &daemons {
        for line in daemon.all_lines() {
            if std::env::var_os("LOGS").is_some() {
                eprintln!("{line}");
            }
        }
    }
    drop(daemons);
    exit(i32::from(!twice.is_empty() || !refused.is_empty()));
}
