use {
    super::{LayoutError, SHARDS},
    crate::tree::{EditId, Family, LOG_EDITS},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The key of the head.
pub const HEAD_KEY: &str = "/jasmine/config/head";

/// How far one shard has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "(Revision, Revision)", into = "(Revision, Revision)")]
pub struct ShardMark {
    /// The revision that its stored value holds the nodes of; 0: it was never written.
    pub at: Revision,
    /// The first later revision that touched it; 0: none, so its value is up to date.
    pub lacks_from: Revision,
}

impl From<(Revision, Revision)> for ShardMark {
    fn from((at, lacks_from): (Revision, Revision)) -> Self {
        Self { at, lacks_from }
    }
}

impl From<ShardMark> for (Revision, Revision) {
    fn from(mark: ShardMark) -> Self {
        (mark.at, mark.lacks_from)
    }
}

/// What every edit compares and replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// The edit that made it; none before the first.
    pub edit: Option<EditId>,
    /// The next number that each family gives out.
    pub next_numbers: BTreeMap<Family, u32>,
    /// The oldest edit whose record is still kept.
    pub oldest_edit: Revision,
    /// The newest edit whose record is large; 0: there was none.
    pub newest_bulk: Revision,
    /// The shards that were ever touched.
    pub shards: BTreeMap<u16, ShardMark>,
}

impl Head {
    /// Reads the value at [`HEAD_KEY`]; an absent one is the head before the first edit.
    ///
    /// # Errors
    ///
    /// [`LayoutError::Malformed`] where it is not what [`super::plan`] writes.
    pub fn read(value: Option<&str>) -> Result<Self, LayoutError> {
        let Some(text) = value else {
            return Ok(Self::default());
        };
        let head: Self = serde_json::from_str(text)
            .map_err(|source| LayoutError::malformed(HEAD_KEY, source))?;
        if head.shards.keys().any(|&shard| shard >= SHARDS) {
            return Err(LayoutError::UnknownShard);
        }
        Ok(head)
    }

    /// The value to be written.
    ///
    /// # Panics
    ///
    /// Never with the types of this crate: numbers and names always have a JSON form.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("numbers and names are always JSON")
    }

    /// How far a shard has got.
    pub fn mark(
        &self,
        shard: u16,
    ) -> ShardMark {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// The first revision that a shard lacks; none: all shards are up to date.
    pub fn lacks_from(&self) -> Option<Revision> {
        self.shards
            .values()
            .map(|mark| mark.lacks_from)
            .filter(|&revision| revision != Revision(0))
            .min()
    }

    /// The first record that a loader reads: what shards lack, and the newest for the log.
    ///
    /// The log goes back no further than the newest bulk edit, so that a VM that starts after a
    /// morning of bulk edits doesn't read hundreds of megabytes of them.
    pub fn edits_from(&self) -> Revision {
        let log = Revision((self.revision.0 + 1).saturating_sub(LOG_EDITS as u64));
        let log = log
            .max(self.oldest_edit)
            .max(self.newest_bulk)
            .max(Revision(1));
        self.lacks_from().map_or(log, |lacks| lacks.min(log))
    }
}
