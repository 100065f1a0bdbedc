//! Model servers crash one after the other, whatever they run, while their streams end with their channels.

use {
    jasmine_platform_stand_in::KvStandIn,
    review_stand_ins::{
        client::Client,
        daemon::{Daemon, config, request, start_all},
        engine::{Conduct, Engine, Framing},
        has_trouble, pause,
        record::Record,
    },
    std::{
        net::SocketAddr,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 6;
/// Crashes, one server each.
const CRASHES: u32 = 6;
/// How long a server is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// How long the daemons are down in the final fault.
const KILLED_TIME: u64 = 1_300;
/// Bound of the rule.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

struct Sent {
    at: Instant,
    status: u16,
    is_whole: bool,
}

fn main() {
    let record = Record::create();
    let framing = match std::env::var("FRAMING").as_deref() {
        Ok("chunked") => Framing::Chunked,
        _ => Framing::UntilClose,
    };
    let store = KvStandIn::start().expect("the store listens");
    store.put("op/config", &config(1));
    let engines: Vec<Engine> = (1..=ENGINES)
        .map(|number| {
            let told = record.clone();
            let watch = move |server: &str, what: &str, id: &str| {
                told.line(&format!("server {server}: {what} {id}"));
            };
            let conduct = Conduct {
                framing,
                ..Conduct::default()
            };
            let engine = Engine::start(&format!("e-{number}"), conduct, watch, |_| false);
            store.put(&engine.key(), &engine.entry());
            engine
        })
        .collect();
    let mut daemons = start_all(&store, 3);
    let addresses: Arc<Mutex<Vec<SocketAddr>>> =
        Arc::new(Mutex::new(daemons.iter().map(|it| it.callers).collect()));
    let all = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let began = Instant::now();
    let until = began + Duration::from_secs(70);
    let mut killed_at = began;
    let mut back_at = began;
    thread::scope(|scope| {
        for client in 0..18_usize {
            let (record, all) = (record.clone(), Arc::clone(&all));
            let addresses = Arc::clone(&addresses);
            scope.spawn(move || {
                let mut known = addresses.lock().unwrap()[client % 3];
                let mut connection = Client::new(known);
                for number in 0_u64.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let address = addresses.lock().unwrap()[client % 3];
                    if address != known {
                        known = address;
                        connection = Client::new(address);
                    }
                    let id = format!("c{client}-{number}");
                    let adapter = (client as u64 * 5 + number) % 24;
                    let headers = format!(
                        "X-Model: base/a{adapter}\r\nX-Token-Counts: 800,22\r\nX-Prompt-Prefix: c1:568,{client:x}{number:x}:232\r\n"
                    );
                    let bytes = request("POST", "/draft/x", &id, &headers, "prompt");
                    let at = Instant::now();
                    record.line(&format!("client sends {id}"));
                    let answer = connection.send(&bytes);
                    let status = answer.as_ref().map_or(0, |it| it.status);
                    let is_whole = answer.as_ref().is_some_and(|it| it.is_whole);
                    let code = answer.filter(|it| it.status >= 400).map(|it| it.text());
                    record.line(&format!(
                        "client gets {status} for {id} {}",
                        code.unwrap_or_default()
                    ));
                    all.lock().unwrap().push(Sent {
                        at,
                        status,
                        is_whole,
                    });
                    pause(if status == 200 { 40 } else { 500 });
                }
            });
        }
        pause(10_000);
        for _ in 0..CRASHES {
            pause(3_000);
            if has_trouble() {
                // Any server that is at work on a stream.
                let before: Vec<u64> = engines.iter().map(Engine::begun).collect();
                let is_at_work = |(it, begun): &(&Engine, &u64)| it.begun() > **begun;
                let waits_until = Instant::now() + Duration::from_secs(2);
                let engine = loop {
                    let mut known = engines.iter().zip(&before);
                    if let Some((engine, _)) = known.find(is_at_work) {
                        break Some(engine);
                    }
                    if Instant::now() >= waits_until {
                        break None;
                    }
                    pause(1);
                };
                let Some(engine) = engine else {
                    record.say("no server is at work");
                    break;
                };
                pause(40);
                record.say(&format!("server {} crashes", engine.id));
                engine.life.crash(engine.address, DOWN_TIME);
                store.put(&engine.key(), &engine.entry());
                record.say(&format!("server {} is back", engine.id));
            } else {
                thread::sleep(DOWN_TIME);
            }
        }
        pause(2_000);
        record.say("final fault: all daemons are killed");
        killed_at = Instant::now();
        for daemon in &mut daemons {
            daemon.kill();
        }
        if std::env::var_os("LOGS").is_some() {
            for line in daemons.iter().flat_map(Daemon::all_lines) {
                eprintln!("{line}");
            }
        }
        pause(KILLED_TIME);
        daemons.clear();
        for number in 1..=3 {
            let daemon = Daemon::start(&format!("vm-{number}"), store.address(), |settings| {
                settings["first_start"] = false.into();
            });
            addresses.lock().unwrap()[number - 1] = daemon.callers;
            daemons.push(daemon);
        }
        back_at = Instant::now();
        record.say("the daemons are back");
    });
    let all = all.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let sent: Vec<_> = all
            .iter()
            .filter(|it| it.at >= from && it.at < to)
            .collect();
        let served = sent.iter().filter(|it| it.status == 200 && it.is_whole);
        (served.count(), sent.len())
    };
    let (served_before, before) = share(began, killed_at);
    let (served_after, after) = share(back_at + RECOVERY_TIME, until);
    record.say(&format!(
        "before the final fault {served_before} of {before} were served; of those sent later than 12 s after the daemons were back, {served_after} of {after}"
    ));
    record.say(&format!(
        "in the store: {:?}",
        store
            .keys()
            .iter()
            .filter(|key| key.contains("quarantine"))
            .collect::<Vec<_>>()
    ));
    record.flush();
    drop(daemons);
    if after == 0 || served_before * 4 < before {
        exit(2);
    }
    let is_broken = served_after * 4 < after;
    if is_broken {
        println!("RECOVER: less than a quarter is served");
    }
    exit(i32::from(is_broken));
}
