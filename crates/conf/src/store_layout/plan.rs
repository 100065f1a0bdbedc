use {
    super::{HEAD_KEY, Head, LayoutError, SHARDS, Shard, ShardMark, shard_key, shard_of},
    crate::tree::{Accepted, EditOp, NodeKind, Path, Tree},
    jasmine_core::ids::Revision,
    std::collections::BTreeSet,
};

/// What the keys of edits' records begin with.
pub const EDIT_PREFIX: &str = "/jasmine/config/edit/";

/// Bytes of all values that one edit writes, below the request limit of such services.
pub const MAX_WRITE_BYTES: usize = 1_000_000;

/// Records that are kept; each edit over this number deletes the oldest.
pub const HISTORY_EDITS: u64 = 20_000;

/// Bytes from which on a record counts as that of a bulk edit.
const BULK_RECORD: usize = 8 << 10;

/// Shards that one edit rewrites at most.
const MAX_SHARDS_A_WRITE: usize = 4;

/// One transaction: if the head's value is still `expect`, put all of `puts` and delete all of `deletes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The head's value as it was read; none: the key must not exist.
    pub expect: Option<String>,
    /// Keys and values to be written, the head among them.
    pub puts: Vec<(String, String)>,
    /// Keys to be deleted.
    pub deletes: Vec<String>,
    /// The head that stands once the transaction has succeeded.
    pub head: Head,
}

/// The key of an edit's record.
pub fn edit_key(revision: Revision) -> String {
    format!("{EDIT_PREFIX}{:020}", revision.0)
}

/// Plans the transaction that stores an edit.
///
/// `head_value` is the value at [`HEAD_KEY`] as it was read; `before` and `after` are the trees
/// around the edit.
///
/// # Errors
///
/// [`LayoutError::ShardTooLarge`] where the tree outgrows the layout, [`LayoutError::Malformed`]
/// where the head can't be read.
pub fn plan(
    head_value: Option<&str>,
    before: &Tree,
    after: &Tree,
    accepted: &Accepted,
) -> Result<Write, LayoutError> {
    let mut head = Head::read(head_value)?;
    let revision = accepted.revision;
    head.revision = revision;
    head.edit = Some(accepted.edit.id.clone());
    head.next_numbers.clone_from(after.next_numbers());
    for shard in touched_shards(before, accepted) {
        let mark = head.shards.entry(shard).or_default();
        if mark.lacks_from == Revision(0) {
            mark.lacks_from = revision;
        }
    }
    let record = serde_json::to_string(accepted)
        .map_err(|source| LayoutError::malformed(EDIT_PREFIX, source))?;
    if record.len() > BULK_RECORD {
        head.newest_bulk = revision;
    }
    let mut puts = rewrite_shards(&mut head, after, record.len())?;
    puts.push((edit_key(revision), record));
    let deletes = forget_oldest(&mut head);
    puts.push((HEAD_KEY.to_owned(), head.text()));
    Ok(Write {
        expect: head_value.map(str::to_owned),
        puts,
        deletes,
        head,
    })
}

/// The shards of every node that an edit changes.
fn touched_shards(
    before: &Tree,
    accepted: &Accepted,
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

/// Writes the shards that have lagged the longest, as far as the edit's own record leaves room.
///
/// Every edit writes at least one where room is left and the longest-lagging come first, so a shard lags for
/// at most as many small edits as there are shards; a loader replays no more than that.
fn rewrite_shards(
    head: &mut Head,
    after: &Tree,
    record_bytes: usize,
) -> Result<Vec<(String, String)>, LayoutError> {
    let mut lagging: Vec<(Revision, u16)> = head
        .shards
        .iter()
        .filter(|(_, mark)| mark.lacks_from != Revision(0))
        .map(|(&shard, mark)| (mark.lacks_from, shard))
        .collect();
    lagging.sort_unstable();
    let head_bytes = head.text().len() + usize::from(SHARDS);
    let mut room = MAX_WRITE_BYTES.saturating_sub(record_bytes + head_bytes);
    let mut puts = Vec::new();
    for (_, shard) in lagging.into_iter().take(MAX_SHARDS_A_WRITE) {
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
        if value.len() > room {
            break;
        }
        room -= value.len();
        let mark = ShardMark {
            at: after.revision(),
            lacks_from: Revision(0),
        };
        head.shards.insert(shard, mark);
        puts.push((key, value));
    }
    Ok(puts)
}

/// Drops the oldest record once there are enough, unless a shard still lacks it.
fn forget_oldest(head: &mut Head) -> Vec<String> {
    let oldest = head.oldest_edit.max(Revision(1));
    let enough = head.revision.0 >= oldest.0 + HISTORY_EDITS;
    let lacking = head.lacks_from().is_some_and(|lacks| lacks <= oldest);
    head.oldest_edit = oldest;
    if !enough || lacking {
        return Vec::new();
    }
    head.oldest_edit = oldest.next();
    vec![edit_key(oldest)]
}
