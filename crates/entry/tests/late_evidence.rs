//! What a VM has stored about crashes, read again by another one.

mod deployment;

use {
    deployment::{Vm, start_platform, wait_until},
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const PREFIX: &str = "jasmine/crash-evidence/";
/// Longer than reports of one crash come apart.
const LAG: Duration = Duration::from_secs(2);

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

#[test]
fn a_record_read_late_is_no_new_crash() {
    // Guards against counting a crash again with each record of it that arrives late.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let record = json!({
        "written_unix_ms": unix_ms(),
        "crashes": [{"upstream": "e-1", "ago_ms": 0, "requests": [],
            "prompts": [{"parts": ["f1"], "sent_ago_ms": 100}]}],
        "sound": [],
    });
    let own_crashes = || {
        let keys = store.keys();
        let own = keys
            .iter()
            .find(|key| key.starts_with(PREFIX) && !key.ends_with("gone"))?;
        let record: Value = serde_json::from_slice(&store.value(own)?).unwrap();
        record["crashes"].as_array().map(Vec::len)
    };
    for _ in 0..3 {
        store.put(&format!("{PREFIX}gone"), &record);
        thread::sleep(LAG);
    }
    wait_until("it is taken over", || own_crashes().is_some());
    assert_eq!(own_crashes(), Some(1));
}
