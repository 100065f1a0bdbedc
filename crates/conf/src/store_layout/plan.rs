use {
    super::{HEAD_KEY, Head, LayoutError, SHARDS, Shard, ShardState, shard_key, shard_of},
    crate::tree::{AcceptedEdit, EditOp, NodeKind, Path, Tree},
    jasmine_core::ids::Revision,
    std::collections::BTreeSet,
};

/// The key prefix of edit records.
pub const EDIT_PREFIX: &str = "/jasmine/config/edit/";

/// The maximum total bytes of the values in one write, below the key-value service's request limit.
pub const MAX_WRITE_BYTES: usize = 1_000_000;

/// The number of edit records to keep; each further edit deletes the oldest.
pub const MAX_HISTORY_EDITS: u64 = 20_000;

/// The maximum size of an edit record that does not count as a bulk edit.
const MAX_SMALL_RECORD_BYTES: usize = 8 << 10;

/// The maximum number of shards that one edit rewrites.
const MAX_SHARDS_PER_EDIT: usize = 4;

/// One transaction: if the head's value is still `expect`, applies all `puts` and `deletes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// The expected value of the head; `None` if the key must not exist.
    pub expect: Option<String>,
    /// Keys and values to write, including the head.
    pub puts: Vec<(String, String)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
    /// The head after the transaction has succeeded.
    pub head: Head,
}

/// The key of the edit record of a revision.
pub fn edit_key(revision: Revision) -> String {
    format!("{EDIT_PREFIX}{:020}", revision.0)
}

/// Plans the transaction that stores an edit.
///
/// `head_value` is the value read from [`HEAD_KEY`]; `before` and `after` are the trees before and
/// after the edit.
///
/// # Errors
///
/// [`LayoutError::ShardTooLarge`] if a shard exceeds the size of one write, [`LayoutError::Malformed`]
/// or [`LayoutError::UnknownShard`] if the head is invalid.
pub fn plan(
    head_value: Option<&str>,
    before: &Tree,
    after: &Tree,
    accepted: &AcceptedEdit,
) -> Result<Transaction, LayoutError> {
    let mut head = Head::read(head_value)?;
    let revision = accepted.revision;
    head.revision = revision;
    head.edit = Some(accepted.edit.id.clone());
    head.next_numbers.clone_from(after.next_numbers());
    for shard in changed_shards(before, accepted) {
        let state = head.shards.entry(shard).or_default();
        if state.lacks_from == Revision(0) {
            state.lacks_from = revision;
        }
    }
    let record = serde_json::to_string(accepted)
        .map_err(|source| LayoutError::malformed(EDIT_PREFIX, source))?;
    if record.len() > MAX_SMALL_RECORD_BYTES {
        head.newest_bulk = revision;
    }
    let mut puts = rewrite_shards(&mut head, after, record.len())?;
    puts.push((edit_key(revision), record));
    let deletes = prune_history(&mut head);
    puts.push((HEAD_KEY.to_owned(), head.text()));
    Ok(Transaction {
        expect: head_value.map(str::to_owned),
        puts,
        deletes,
        head,
    })
}

/// The shards of all nodes that an edit changes.
fn changed_shards(
    before: &Tree,
    accepted: &AcceptedEdit,
) -> BTreeSet<u16> {
    let mut shards = BTreeSet::new();
    for op in &accepted.edit.ops {
        let path = op.path();
        shards.insert(shard_of(path));
        match op {
            EditOp::Create {
                kind: NodeKind::Version,
                ..
            } => shards.extend(path.parent().as_ref().map(shard_of)),
            EditOp::Delete { .. } => shards.extend(paths_within(before, path).map(shard_of)),
            _ => (),
        }
    }
    shards
}

fn paths_within<'t>(
    tree: &'t Tree,
    path: &Path,
) -> impl Iterator<Item = &'t Path> {
    tree.within(path).map(|(path, _)| path)
}

/// Rewrites the shards that have been stale the longest, within the remaining size of the write.
///
/// Rewriting the oldest first bounds the number of edits that a load has to replay.
fn rewrite_shards(
    head: &mut Head,
    after: &Tree,
    record_bytes: usize,
) -> Result<Vec<(String, String)>, LayoutError> {
    let mut stale_shards: Vec<(Revision, u16)> = head
        .shards
        .iter()
        .filter(|(_, state)| state.lacks_from != Revision(0))
        .map(|(&shard, state)| (state.lacks_from, shard))
        .collect();
    stale_shards.sort_unstable();
    let head_bytes = head.text().len() + usize::from(SHARDS);
    let mut available_bytes = MAX_WRITE_BYTES.saturating_sub(record_bytes + head_bytes);
    let mut puts = Vec::new();
    for (_, shard) in stale_shards.into_iter().take(MAX_SHARDS_PER_EDIT) {
        let key = shard_key(shard);
        let value = serde_json::to_string(&Shard::of(after, shard))
            .map_err(|source| LayoutError::malformed(&key, source))?;
        if value.len() > MAX_WRITE_BYTES - head_bytes {
            return Err(LayoutError::ShardTooLarge {
                shard,
                bytes: value.len(),
                allowed: MAX_WRITE_BYTES - head_bytes,
            });
        }
        if value.len() > available_bytes {
            break;
        }
        available_bytes -= value.len();
        let state = ShardState {
            at: after.revision(),
            lacks_from: Revision(0),
        };
        head.shards.insert(shard, state);
        puts.push((key, value));
    }
    Ok(puts)
}

/// Deletes the oldest record once the history is full, unless a stale shard still needs it.
fn prune_history(head: &mut Head) -> Vec<String> {
    let oldest = head.oldest_edit.max(Revision(1));
    let is_full = head.revision.0 >= oldest.0 + MAX_HISTORY_EDITS;
    let is_needed = head
        .lacks_from()
        .is_some_and(|lacks_from| lacks_from <= oldest);
    head.oldest_edit = oldest;
    if !is_full || is_needed {
        return Vec::new();
    }
    head.oldest_edit = oldest.next();
    vec![edit_key(oldest)]
}
