use {
    super::{Head, LayoutError, SHARDS, Shard, shard_key},
    crate::tree::{AcceptedEdit, EditLog, Tree},
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, sync::Arc},
};

/// The configuration as loaded from the store.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The tree at the head's revision.
    pub tree: Tree,
    /// The newest edits.
    pub log: EditLog,
}

/// Builds the tree at the revision of `head`.
///
/// `shards` holds the values below [`super::SHARD_PREFIX`] by key; `edits` holds the edit records
/// from [`Head::first_edit_to_load`] up to the head's revision, in key order.
///
/// # Errors
///
/// [`LayoutError`] if a value cannot be parsed or the values are inconsistent.
pub fn load(
    head: &Head,
    shards: &BTreeMap<String, String>,
    edits: &[String],
) -> Result<LoadedConfig, LayoutError> {
    let edits = read_edits(head, edits)?;
    let nodes = read_shards(head, shards)?
        .into_iter()
        .flat_map(|shard| shard.nodes);
    // Shards are at different revisions, so edits are replayed from the first one that any shard lacks.
    let lacks_from = head.lacks_from().unwrap_or_else(|| head.revision.next());
    let before = Revision(lacks_from.0 - 1);
    let mut tree = Tree::from_parts(before, head.next_numbers.clone(), nodes);
    let mut log = EditLog::new(Revision(head.first_edit_to_load().0 - 1));
    for accepted in edits {
        if accepted.revision > before {
            tree.apply(&accepted).map_err(LayoutError::OutOfOrder)?;
        }
        log.push(Arc::new(accepted));
    }
    Ok(LoadedConfig { tree, log })
}

fn read_shards(
    head: &Head,
    shards: &BTreeMap<String, String>,
) -> Result<Vec<Shard>, LayoutError> {
    let mut read = Vec::new();
    for shard in 0..SHARDS {
        let key = shard_key(shard);
        let value = match shards.get(&key) {
            Some(text) => {
                serde_json::from_str(text).map_err(|source| LayoutError::malformed(&key, source))?
            }
            None => Shard {
                at: Revision(0),
                nodes: BTreeMap::new(),
            },
        };
        if value.at != head.state(shard).at {
            return Err(LayoutError::ShardMismatch { shard });
        }
        read.push(value);
    }
    Ok(read)
}

/// Parses the records and checks that they are contiguous up to the head's revision.
fn read_edits(
    head: &Head,
    edits: &[String],
) -> Result<Vec<AcceptedEdit>, LayoutError> {
    let mut read = Vec::new();
    let mut next = head.first_edit_to_load();
    for text in edits {
        let accepted: AcceptedEdit = serde_json::from_str(text)
            .map_err(|source| LayoutError::malformed(super::EDIT_PREFIX, source))?;
        if accepted.revision > head.revision {
            break;
        }
        if accepted.revision != next {
            return Err(LayoutError::MissingRecord { revision: next });
        }
        next = next.next();
        read.push(accepted);
    }
    if next <= head.revision {
        return Err(LayoutError::MissingRecord { revision: next });
    }
    Ok(read)
}
