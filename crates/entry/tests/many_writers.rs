//! Evidence about crashes that many VMs have stored.

mod deployment;

use {
    deployment::{Vm, start_platform, wait_until},
    serde_json::json,
};

const PREFIX: &str = "jasmine/crash-evidence/";
/// More than a transaction may delete.
const WRITERS: u32 = 40;

#[test]
fn a_leader_deletes_what_many_vms_stored() {
    // Guards against a transaction with more entries than the store accepts, which the leader tries for ever.
    let (store, _upstreams) = start_platform(&["s-1"]);
    for writer in 0..WRITERS {
        let record = json!({"written_unix_ms": 0, "crashes": [], "sound": []});
        store.put(&format!("{PREFIX}gone-{writer}"), &record);
    }
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let is_left = |key: &String| key.starts_with(PREFIX);
    wait_until("nothing is left", || !store.keys().iter().any(is_left));
}
