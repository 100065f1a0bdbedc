//! Storing and loading the tree, and the outcome of writes whose reply was lost.

use {
    jasmine_conf::{
        store_layout::{
            EDIT_PREFIX, HEAD_KEY, Head, LayoutError, LoadedConfig, MAX_WRITE_BYTES, SHARD_PREFIX,
            Transaction, WriteOutcome, edit_key, load, plan, write_outcome,
        },
        tree::{
            Edit, EditId, EditLog, EditOp, MAX_LOG_OPS, Node, NodeKind, Path, Proposal, Setting,
            Settings, Tree, Value,
        },
    },
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, sync::Arc},
};

/// An in-memory key-value store.
#[derive(Default)]
struct Store {
    rows: BTreeMap<String, String>,
}

impl Store {
    fn get(
        &self,
        key: &str,
    ) -> Option<&str> {
        self.rows.get(key).map(String::as_str)
    }

    fn commit(
        &mut self,
        write: &Transaction,
    ) -> bool {
        if self.rows.get(HEAD_KEY) != write.expect.as_ref() {
            return false;
        }
        self.rows.extend(write.puts.iter().cloned());
        for key in &write.deletes {
            self.rows.remove(key);
        }
        true
    }

    fn under(
        &self,
        prefix: &str,
    ) -> BTreeMap<String, String> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// The edit records needed to load the tree.
    fn edits_to_load(
        &self,
        head: &Head,
    ) -> Vec<String> {
        let first = edit_key(head.first_edit_to_load());
        let records = self.under(EDIT_PREFIX).into_iter();
        records
            .filter(|(key, _)| *key >= first)
            .map(|(_, value)| value)
            .collect()
    }

    fn load(&self) -> Result<LoadedConfig, LayoutError> {
        let head = Head::read(self.get(HEAD_KEY))?;
        let edits = self.edits_to_load(&head);
        load(&head, &self.under(SHARD_PREFIX), &edits)
    }
}

/// The tree, edit log and store of one controller.
#[derive(Default)]
struct Editor {
    tree: Tree,
    log: EditLog,
    store: Store,
}

impl Editor {
    fn propose(
        &self,
        ops: Vec<EditOp>,
    ) -> Proposal {
        let edit = Edit {
            id: EditId::random(),
            author: "ana".to_owned(),
            base: self.tree.revision(),
            ops,
        };
        self.tree.propose(&edit, &self.log, 0).unwrap()
    }

    fn plan(
        &self,
        proposal: &Proposal,
    ) -> Transaction {
        let head = self.store.get(HEAD_KEY);
        plan(head, &self.tree, &proposal.tree, &proposal.accepted).unwrap()
    }

    fn edit(
        &mut self,
        ops: Vec<EditOp>,
    ) -> Transaction {
        let proposal = self.propose(ops);
        let write = self.plan(&proposal);
        assert!(self.store.commit(&write));
        self.tree = proposal.tree;
        self.log.push(Arc::new(proposal.accepted));
        write
    }
}

fn path(text: &str) -> Path {
    Path::parse(text).unwrap()
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

fn adapters(range: std::ops::Range<u32>) -> Vec<EditOp> {
    range
        .flat_map(|i| {
            let weights = [(
                Setting::Weights,
                Value::text(&format!("weights-of-adapter-{i}")),
            )];
            [
                create(&format!("/adapters/adapter-{i}"), NodeKind::Adapter, &[]),
                create(
                    &format!("/adapters/adapter-{i}/1"),
                    NodeKind::Version,
                    &weights,
                ),
            ]
        })
        .collect()
}

fn with_model() -> Editor {
    let mut editor = Editor::default();
    editor.edit(vec![
        create("/models/base", NodeKind::Model, &[]),
        set("/adapters", Setting::Model, Value::text("base")),
    ]);
    editor
}

#[test]
fn a_bulk_edit_is_one_bounded_write() {
    let mut editor = with_model();
    for bulk in 0..4 {
        let write = editor.edit(adapters(bulk * 2_000..(bulk + 1) * 2_000));
        let bytes: usize = write.puts.iter().map(|(_, value)| value.len()).sum();
        assert!(bytes <= MAX_WRITE_BYTES, "{bytes}");
        let loaded = editor.store.load().unwrap();
        assert_eq!(loaded.tree, editor.tree);
        assert_eq!(loaded.tree.resolve(), editor.tree.resolve());
        // The loaded log starts at the bulk edit or at the first edit missing from a shard.
        let tail: Vec<_> = loaded.log.newest_first().collect();
        let head = Head::read(editor.store.get(HEAD_KEY)).unwrap();
        assert_eq!(loaded.log.oldest_base().next(), head.first_edit_to_load());
        assert!(
            tail.iter()
                .copied()
                .eq(editor.log.newest_first().take(tail.len()))
        );
    }
    // Later small edits rewrite the shards that the bulk edits left stale.
    for i in 0..70 {
        editor.edit(vec![set(
            "/accounts",
            Setting::Weight,
            Value::Number(i + 1),
        )]);
    }
    let head = Head::read(editor.store.get(HEAD_KEY)).unwrap();
    assert_eq!(head.lacks_from(), None);
    assert_eq!(editor.store.load().unwrap().tree, editor.tree);
}

#[test]
fn a_moved_adapter_loads_at_its_new_path() {
    // Guards against losing the name of a moved adapter on load: the shard of its old path is older
    // than that of its new path, so the deletion is replayed after the adapter was created.
    let mut editor = with_model();
    editor.edit(vec![create("/adapters/team", NodeKind::Group, &[])]);
    for i in 0..40 {
        editor.edit(adapters(i..i + 1));
    }
    let moved: Vec<EditOp> = (0..40)
        .flat_map(|i| {
            [
                EditOp::Delete {
                    path: path(&format!("/adapters/adapter-{i}")),
                },
                create(
                    &format!("/adapters/team/adapter-{i}"),
                    NodeKind::Adapter,
                    &[],
                ),
            ]
        })
        .collect();
    editor.edit(moved);
    let loaded = editor.store.load().unwrap();
    assert_eq!(loaded.tree, editor.tree);
    assert_eq!(loaded.tree.resolve().adapter_names.len(), 40);
}

#[test]
fn a_write_with_a_lost_reply_is_applied_once() {
    // Guards against applying an edit twice, or reporting it as failed, after the reply was lost.
    let mut editor = with_model();
    let proposal = editor.propose(vec![create("/accounts/farm", NodeKind::Account, &[])]);
    let write = editor.plan(&proposal);
    let key = edit_key(proposal.accepted.revision);
    let id = &proposal.accepted.edit.id;
    assert_eq!(
        write_outcome(id, editor.store.get(&key)).unwrap(),
        WriteOutcome::Pending
    );
    assert!(editor.store.commit(&write));
    assert!(!editor.store.commit(&write));
    assert_eq!(
        write_outcome(id, editor.store.get(&key)).unwrap(),
        WriteOutcome::AcceptedEdit
    );
    let loaded = editor.store.load().unwrap();
    assert_eq!(loaded.tree, proposal.tree);
    assert!(loaded.log.find(id).is_some());
}

#[test]
fn a_superseded_write_is_not_reported_as_accepted() {
    // Guards against reporting success when a concurrent write won and the reply was lost.
    let mut editor = with_model();
    let late = editor.propose(vec![create("/accounts/farm", NodeKind::Account, &[])]);
    let late_write = editor.plan(&late);
    editor.edit(vec![create("/accounts/shop", NodeKind::Account, &[])]);
    assert!(!editor.store.commit(&late_write));
    let key = edit_key(late.accepted.revision);
    let settled = write_outcome(&late.accepted.edit.id, editor.store.get(&key)).unwrap();
    assert!(matches!(settled, WriteOutcome::Superseded(_)));
}

#[test]
fn a_version_number_is_never_reused() {
    // Guards against an engine serving old weights: it identifies loaded weights by adapter number and
    // version, so a reused version number would match them.
    let mut editor = with_model();
    editor.edit(adapters(0..1));
    editor.edit(vec![EditOp::Delete {
        path: path("/adapters/adapter-0/1"),
    }]);
    let loaded = editor.store.load().unwrap();
    let adapter: &Node = loaded.tree.node(&path("/adapters/adapter-0")).unwrap();
    assert_eq!(adapter.last_version, 1);
}

#[test]
fn an_edit_during_a_load_is_detected() {
    let mut editor = with_model();
    editor.edit(adapters(0..300));
    let head = Head::read(editor.store.get(HEAD_KEY)).unwrap();
    editor.edit(adapters(300..301));
    let edits = editor.store.edits_to_load(&head);
    let loaded = load(&head, &editor.store.under(SHARD_PREFIX), &edits);
    assert!(matches!(loaded, Err(LayoutError::ShardMismatch { .. })));
}

#[test]
fn a_missing_edit_record_is_detected() {
    let mut editor = with_model();
    editor.edit(adapters(0..300));
    let head = Head::read(editor.store.get(HEAD_KEY)).unwrap();
    editor.store.rows.remove(&edit_key(Revision(2)));
    assert!(matches!(
        editor.store.load(),
        Err(LayoutError::MissingRecord { revision }) if revision == Revision(2)
    ));
    assert_eq!(head.revision, Revision(2));
}

#[test]
fn bulk_edits_do_not_exceed_the_log_limit() {
    // Guards against unbounded memory of the edit log and slow loads after many bulk edits.
    let mut editor = with_model();
    for bulk in 0..12 {
        editor.edit(adapters(bulk * 1_500..(bulk + 1) * 1_500));
    }
    let kept: usize = editor
        .log
        .newest_first()
        .map(|edit| edit.edit.ops.len())
        .sum();
    assert!((3_000..=MAX_LOG_OPS).contains(&kept), "{kept}");
    assert_eq!(editor.log.newest(), editor.tree.revision());
    for i in 0..3 {
        editor.edit(vec![set(
            "/accounts",
            Setting::Weight,
            Value::Number(i + 1),
        )]);
    }
    let head = Head::read(editor.store.get(HEAD_KEY)).unwrap();
    assert_eq!(head.newest_bulk, Revision(13));
    let loaded = editor.store.load().unwrap();
    assert_eq!(loaded.tree, editor.tree);
    let tail: Vec<_> = loaded.log.newest_first().collect();
    assert!(
        tail.iter()
            .copied()
            .eq(editor.log.newest_first().take(tail.len()))
    );
    assert!(tail.len() >= 4, "{}", tail.len());
}

#[test]
fn a_log_of_small_edits_loads_unchanged() {
    let mut editor = with_model();
    for i in 0..50 {
        editor.edit(vec![set(
            "/accounts",
            Setting::Weight,
            Value::Number(i + 1),
        )]);
    }
    assert_eq!(editor.store.load().unwrap().log, editor.log);
}
