use {
    super::{LayoutError, SHARDS},
    crate::tree::{EditId, Family, MAX_LOG_EDITS},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The key of the head.
pub const HEAD_KEY: &str = "/jasmine/config/head";

/// Which revisions the stored value of a shard covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "(Revision, Revision)", into = "(Revision, Revision)")]
pub struct ShardState {
    /// The revision of the nodes in the stored value; 0 if the shard was never written.
    pub at: Revision,
    /// The first revision that changed the shard after `at`; 0 if the stored value is up to date.
    pub lacks_from: Revision,
}

impl From<(Revision, Revision)> for ShardState {
    fn from((at, lacks_from): (Revision, Revision)) -> Self {
        Self { at, lacks_from }
    }
}

impl From<ShardState> for (Revision, Revision) {
    fn from(state: ShardState) -> Self {
        (state.at, state.lacks_from)
    }
}

/// The record that every edit compares and replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// The edit that made the newest revision; `None` before the first edit.
    pub edit: Option<EditId>,
    /// The next number to assign in each family.
    pub next_numbers: BTreeMap<Family, u32>,
    /// The oldest edit whose record is still kept.
    pub oldest_edit: Revision,
    /// The revision of the newest bulk edit; 0 if there was none.
    pub newest_bulk: Revision,
    /// The state of every shard that an edit has changed.
    pub shards: BTreeMap<u16, ShardState>,
}

impl Head {
    /// Reads the value at [`HEAD_KEY`]; a missing value is the head before the first edit.
    ///
    /// # Errors
    ///
    /// [`LayoutError::Malformed`] if the value cannot be parsed, or [`LayoutError::UnknownShard`]
    /// if it names a shard that does not exist.
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

    /// The value to store at [`HEAD_KEY`].
    ///
    /// # Panics
    ///
    /// Never: all fields have a JSON representation.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("numbers and names are always JSON")
    }

    /// The state of a shard; the default if no edit has changed it.
    pub fn state(
        &self,
        shard: u16,
    ) -> ShardState {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// The first revision missing from any shard; `None` if all shards are up to date.
    pub fn lacks_from(&self) -> Option<Revision> {
        self.shards
            .values()
            .map(|state| state.lacks_from)
            .filter(|&revision| revision != Revision(0))
            .min()
    }

    /// The revision of the first edit record to load, for stale shards and for the log.
    ///
    /// The log starts no earlier than the newest bulk edit, which bounds the bytes read at startup.
    pub fn first_edit_to_load(&self) -> Revision {
        let log = Revision((self.revision.0 + 1).saturating_sub(MAX_LOG_EDITS as u64));
        let log = log
            .max(self.oldest_edit)
            .max(self.newest_bulk)
            .max(Revision(1));
        self.lacks_from()
            .map_or(log, |lacks_from| lacks_from.min(log))
    }
}
