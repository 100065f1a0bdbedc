//! Measures the time and memory cost of the configuration for a given number of adapters.
//!
//! Build with `cargo build --release -p jasmine-conf --example tree_cost` and run
//! `tree_cost make 52000 | tree_cost measure`. A separate process builds the tree, so that its
//! memory is not counted.

use {
    jasmine_conf::{
        fleet::Fleet,
        store_layout::{Head, load, plan, shard_key},
        tree::{
            AcceptedEdit, Edit, EditId, EditLog, EditOp, NodeKind, Path, Setting, Settings, Tree,
            TreeBody, Value,
        },
    },
    std::{
        collections::BTreeMap,
        hint::black_box,
        io::{Read, stdin, stdout},
        sync::Arc,
        time::Instant,
    },
};

const VERSIONS_PER_ADAPTER: u32 = 2;
const ADAPTERS_PER_GROUP: u32 = 250;
/// Client accounts, shared by the adapter groups.
const ACCOUNTS: u32 = 40;
const ENGINES: u32 = 2_400;
/// Ops of a bulk edit, close to the maximum size of an edit.
const BULK_EDIT_OPS: usize = 5_000;
/// Number of single edits to time.
const EDIT_ROUNDS: u32 = 200;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["make", adapters] => {
            let tree = build(adapters.parse().expect("a number of adapters"));
            serde_json::to_writer(stdout(), &TreeBody::from(&tree)).expect("standard output");
        }
        ["measure"] => measure(),
        _ => eprintln!("tree_cost make <adapters> | tree_cost measure"),
    }
}

fn path(text: &str) -> Path {
    Path::parse(text).expect("a path")
}

fn create(
    text: &str,
    kind: NodeKind,
    settings: &[(Setting, Value)],
) -> EditOp {
    EditOp::Create {
        path: path(text),
        kind,
        settings: Settings::from(settings.iter().cloned().collect::<BTreeMap<_, _>>()),
    }
}

fn set(
    text: &str,
    setting: Setting,
    value: Value,
) -> EditOp {
    EditOp::Set {
        path: path(text),
        setting,
        value,
    }
}

fn base_ops() -> Vec<EditOp> {
    let mut ops = vec![
        create("/models/base-8b", NodeKind::Model, &[]),
        create("/data-centres/gt-1", NodeKind::DataCentre, &[]),
        set("/adapters", Setting::Model, Value::text("base-8b")),
        set("/upstreams", Setting::Model, Value::text("base-8b")),
        set("/upstreams", Setting::DataCentre, Value::text("gt-1")),
    ];
    for n in 0..ACCOUNTS {
        ops.push(create(
            &format!("/accounts/account-{n}"),
            NodeKind::Account,
            &[],
        ));
    }
    for n in 0..ENGINES {
        let address = Value::text(&format!("10.{}.{}.1:8000", n / 250, n % 250));
        let settings = [(Setting::Address, address)];
        ops.push(create(
            &format!("/upstreams/engine-{n}"),
            NodeKind::Engine,
            &settings,
        ));
    }
    ops
}

fn adapter(n: u32) -> Vec<EditOp> {
    let group = format!("/adapters/team-{}", n / ADAPTERS_PER_GROUP);
    let adapter = format!("{group}/adapter-{n:05}");
    let mut ops = Vec::new();
    if n.is_multiple_of(ADAPTERS_PER_GROUP) {
        let account = Value::Names(vec![
            format!("account-{}", n / ADAPTERS_PER_GROUP % ACCOUNTS).into(),
        ]);
        ops.push(create(
            &group,
            NodeKind::Group,
            &[(Setting::Access, account)],
        ));
    }
    let live = [(Setting::Live, Value::Number(VERSIONS_PER_ADAPTER.into()))];
    ops.push(create(&adapter, NodeKind::Adapter, &live));
    ops.extend((1..=VERSIONS_PER_ADAPTER).map(|v| {
        let weights = [(
            Setting::Weights,
            Value::text(&format!("adapter-{n:05}-v{v}")),
        )];
        create(&format!("{adapter}/{v}"), NodeKind::Version, &weights)
    }));
    ops
}

fn edit(
    tree: &Tree,
    ops: Vec<EditOp>,
) -> AcceptedEdit {
    let edit = Edit {
        id: EditId::random(),
        author: "ana".to_owned(),
        base: tree.revision(),
        ops,
    };
    let log = EditLog::new(tree.revision());
    tree.propose(&edit, &log, 0).expect("a valid edit").accepted
}

fn build(adapters: u32) -> Tree {
    let mut tree = Tree::default();
    let accepted = edit(&tree, base_ops());
    tree.apply(&accepted).expect("the next revision");
    let all: Vec<u32> = (0..adapters).collect();
    for part in all.chunks(1_000) {
        let accepted = edit(&tree, part.iter().flat_map(|&n| adapter(n)).collect());
        tree.apply(&accepted).expect("the next revision");
    }
    tree
}

fn measure() {
    let empty = resident_kb("VmRSS:");
    let mut body = Vec::new();
    stdin().read_to_end(&mut body).expect("standard input");
    println!("whole tree on the wire {} KB", body.len() / 1024);
    let started = Instant::now();
    let decoded: TreeBody = serde_json::from_slice(&body).expect("JSON of a tree");
    drop(body);
    let tree = Tree::from(decoded);
    println!("  decode whole tree {:.1} ms", ms(started));
    let decoded = resident_kb("VmRSS:");
    let started = Instant::now();
    let fleet = tree.resolve();
    println!("  resolve whole tree {:.1} ms", ms(started));
    println!(
        "  nodes {}, adapters {}; resident over the empty process: tree {} KB, tree and fleet {} KB, peak {} KB",
        tree.nodes().count(),
        fleet.adapters.iter().count(),
        decoded - empty,
        resident_kb("VmRSS:") - empty,
        resident_kb("VmHWM:") - empty
    );
    let adapters = fleet.adapters.iter().count() as u32;
    single_edits(&tree, fleet, adapters);
    racing_bulk_edits(&tree, adapters);
    stored(&tree, adapters);
}

fn single_edits(
    tree: &Tree,
    mut fleet: Fleet,
    adapters: u32,
) {
    let target = |round: u32| {
        let n = round * 37 % adapters;
        format!("/adapters/team-{}/adapter-{n:05}", n / ADAPTERS_PER_GROUP)
    };
    let mut tree = tree.clone();
    let (mut propose, mut apply, mut bytes) = (0.0, 0.0, 0);
    for round in 0..EDIT_ROUNDS {
        let op = set(&target(round), Setting::Live, Value::Number(1));
        let started = Instant::now();
        let accepted = edit(&tree, vec![op]);
        propose += ms(started);
        bytes += serde_json::to_vec(&accepted).expect("JSON").len();
        // Readers keep the previous revision while the next one is made.
        let held = Arc::new((tree.clone(), fleet.clone()));
        let started = Instant::now();
        let changes = tree.apply(&accepted).expect("the next revision");
        tree.refresh(&mut fleet, &changes);
        apply += ms(started);
        black_box(held);
    }
    let rounds = f64::from(EDIT_ROUNDS);
    println!(
        "  one edit: check {:.3} ms, apply and refresh {:.3} ms, {} bytes on the wire",
        propose / rounds,
        apply / rounds,
        bytes / EDIT_ROUNDS as usize
    );
    assert_eq!(fleet, tree.resolve());
}

/// Measures the conflict check of two bulk edits based on the same revision.
fn racing_bulk_edits(
    tree: &Tree,
    adapters: u32,
) {
    let ops = |from: u32| -> Vec<EditOp> {
        let numbers = (from..)
            .step_by(2)
            .take_while(|n| *n < adapters)
            .take(BULK_EDIT_OPS);
        let path = |n: u32| format!("/adapters/team-{}/adapter-{n:05}", n / ADAPTERS_PER_GROUP);
        numbers
            .map(|n| set(&path(n), Setting::Live, Value::Number(1)))
            .collect()
    };
    let first = edit(tree, ops(0));
    let base = tree.revision();
    let mut head = tree.clone();
    head.apply(&first).expect("the next revision");
    let mut log = EditLog::new(base);
    log.push(Arc::new(first));
    let late = Edit {
        id: EditId::random(),
        author: "ben".to_owned(),
        base,
        ops: ops(1),
    };
    let started = Instant::now();
    head.propose(&late, &log, 0).expect("no conflicts");
    println!(
        "  bulk edit of {} ops racing another: check {:.1} ms",
        late.ops.len(),
        ms(started)
    );
}

fn stored(
    tree: &Tree,
    adapters: u32,
) {
    let mut before = tree.clone();
    let op = set(
        &format!(
            "/adapters/team-0/adapter-{:05}",
            adapters.min(ADAPTERS_PER_GROUP) - 1
        ),
        Setting::Live,
        Value::Number(1),
    );
    let accepted = edit(&before, vec![op]);
    let mut after = before.clone();
    after.apply(&accepted).expect("the next revision");
    let started = Instant::now();
    let write = plan(None, &before, &after, &accepted).expect("the edit fits into one write");
    let took = ms(started);
    let bytes: usize = write
        .puts
        .iter()
        .map(|(key, value)| key.len() + value.len())
        .sum();
    println!(
        "  store: plan of one edit {took:.1} ms, {bytes} bytes in {} values",
        write.puts.len()
    );
    // Stores all shards at one revision and loads them again.
    let mut head = Head::read(Some(&write.head.text())).expect("the head");
    head.shards.clear();
    let mut shards = BTreeMap::new();
    for n in 0..jasmine_conf::store_layout::SHARDS {
        let shard = jasmine_conf::store_layout::Shard::of(&after, n);
        head.shards.entry(n).or_default().at = shard.at;
        shards.insert(shard_key(n), serde_json::to_string(&shard).expect("JSON"));
    }
    head.oldest_edit = head.revision;
    let largest = shards.values().map(String::len).max().unwrap_or_default();
    let record = serde_json::to_string(&accepted).expect("JSON");
    let started = Instant::now();
    before = load(&head, &shards, &[record])
        .expect("a consistent store")
        .tree;
    println!(
        "  store: largest shard {} KB, head {} bytes, load {:.0} ms",
        largest / 1024,
        head.text().len(),
        ms(started)
    );
    assert_eq!(before, after);
}

fn ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1000.0
}

/// A memory field of `/proc/self/status`, in kilobytes.
fn resident_kb(field: &str) -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
