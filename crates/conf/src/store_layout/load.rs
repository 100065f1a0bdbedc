use {
    super::{Head, LayoutError, SHARDS, Shard, shard_key},
    crate::tree::{Accepted, EditLog, Tree},
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, sync::Arc},
};

/// What the store holds.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The tree of the head's revision.
    pub tree: Tree,
    /// The newest edits.
    pub log: EditLog,
}

/// Puts the tree of `head` together.
///
/// `shards` are the values under [`super::SHARD_PREFIX`] by key; `edits` are the values of the records
/// from [`Head::edits_from`] up to the head's revision, in the order of their keys.
///
/// # Errors
///
/// [`LayoutError`] where the values don't fit each other or are not what this system writes.
pub fn load(
    head: &Head,
    shards: &BTreeMap<String, String>,
    edits: &[String],
) -> Result<Loaded, LayoutError> {
    let edits = read_edits(head, edits)?;
    let nodes = read_shards(head, shards)?
        .into_iter()
        .flat_map(|shard| shard.nodes);
    // The nodes are of several revisions: what the most lagging one lacks is carried out on all.
    let lacks_from = head.lacks_from().unwrap_or_else(|| head.revision.next());
    let before = Revision(lacks_from.0 - 1);
    let mut tree = Tree::from_parts(before, head.next_numbers.clone(), nodes);
    let mut log = EditLog::new(Revision(head.edits_from().0 - 1));
    for accepted in edits {
        if accepted.revision > before {
            tree.apply(&accepted).map_err(LayoutError::OutOfOrder)?;
        }
        log.push(Arc::new(accepted));
    }
    Ok(Loaded { tree, log })
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
        if value.at != head.mark(shard).at {
            return Err(LayoutError::Moved { shard });
        }
        read.push(value);
    }
    Ok(read)
}

/// The records as edits, without a gap up to the head's revision.
fn read_edits(
    head: &Head,
    edits: &[String],
) -> Result<Vec<Accepted>, LayoutError> {
    let mut read = Vec::new();
    let mut next = head.edits_from();
    for text in edits {
        let accepted: Accepted = serde_json::from_str(text)
            .map_err(|source| LayoutError::malformed(super::EDIT_PREFIX, source))?;
        if accepted.revision > head.revision {
            break;
        }
        if accepted.revision != next {
            return Err(LayoutError::Gap { revision: next });
        }
        next = next.next();
        read.push(accepted);
    }
    if next <= head.revision {
        return Err(LayoutError::Gap { revision: next });
    }
    Ok(read)
}
