use {crate::clock::Millis, std::collections::HashMap};

/// How long a change is kept; longer than the longest interval between two polls of a VM.
const CHANGE_RETENTION: Millis = Millis(10_000);

/// Maximum number of minor changes in one response, which bounds its size.
///
/// Thousands of upstreams change every second: sent all at once to each VM of a data centre, their
/// changes would fill its links and delay the responses.
pub const MAX_MINOR_CHANGES: usize = 64;

/// A change of one key.
#[derive(Clone, Debug)]
pub struct Change<T> {
    /// The store revision of the change.
    pub revision: u64,
    /// The new state of the key.
    pub value: T,
}

/// The changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince<T> {
    /// The changes, in order of revision.
    Changes(Vec<T>),
    /// The history since that revision is no longer available.
    Gone,
}

#[derive(Clone, Debug)]
struct KnownChange<T> {
    last: Change<T>,
    /// Revision of the key's last major change, which must be delivered without delay; 0 if none.
    major_revision: u64,
    at: Millis,
}

/// The last change of each recently changed key.
#[derive(Clone, Debug)]
pub struct RecentChanges<T> {
    by_key: HashMap<String, KnownChange<T>>,
    /// All major changes after this revision are known.
    complete_after: u64,
    /// Keys that came and went between these revisions are unknown.
    gap: (u64, u64),
    revision: u64,
}

impl<T> Default for RecentChanges<T> {
    fn default() -> Self {
        Self {
            by_key: HashMap::new(),
            complete_after: 0,
            gap: (0, 0),
            revision: 0,
        }
    }
}

impl<T> RecentChanges<T>
where
    T: Clone,
{
    /// Clears all changes after a full read at a revision.
    pub fn reset(
        &mut self,
        revision: u64,
    ) {
        self.by_key.clear();
        self.complete_after = revision;
        self.revision = revision;
    }

    /// Records that keys which came and went between two revisions are unknown.
    pub const fn note_gap(
        &mut self,
        after: u64,
        revision: u64,
    ) {
        self.gap = (after, revision);
    }

    /// Records a change; `false` if the same or a later one of the key is known.
    pub fn record_change(
        &mut self,
        key: &str,
        change: Change<T>,
        is_major: bool,
        now: Millis,
    ) -> bool {
        let before = self.by_key.get(key);
        if before.is_some_and(|before| before.last.revision >= change.revision) {
            return false;
        }
        let major_revision = match before {
            _ if is_major => change.revision,
            Some(before) => before.major_revision,
            None => 0,
        };
        let known = KnownChange {
            last: change,
            major_revision,
            at: now,
        };
        self.by_key.insert(key.to_owned(), known);
        true
    }

    /// Records that all changes up to a revision are known, and drops expired ones.
    pub fn advance(
        &mut self,
        revision: u64,
        now: Millis,
    ) {
        self.revision = self.revision.max(revision);
        let complete_after = &mut self.complete_after;
        self.by_key.retain(|_, known| {
            let is_recent = now.since(known.at) < CHANGE_RETENTION;
            if !is_recent {
                *complete_after = (*complete_after).max(known.major_revision);
            }
            is_recent
        });
    }

    /// Whether a change of a key later than a revision is known.
    pub fn has_changed_since(
        &self,
        key: &str,
        revision: u64,
    ) -> bool {
        let known = self.by_key.get(key);
        known.is_some_and(|known| known.last.revision > revision)
    }

    /// The revision up to which all changes are known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the keys whose last major change is later than `after`.
    ///
    /// With `minor_after`, also returns the first [`MAX_MINOR_CHANGES`] other keys with any change later than
    /// that revision; old minor changes may be missing.
    pub fn since(
        &self,
        after: u64,
        minor_after: Option<u64>,
    ) -> ChangesSince<T> {
        let (gap_after, gap_end) = self.gap;
        if after < self.complete_after || (gap_after < after && after < gap_end) {
            return ChangesSince::Gone;
        }
        let is_major = |known: &KnownChange<T>| known.major_revision > after;
        let is_minor =
            |known: &KnownChange<T>| minor_after.is_some_and(|minor| known.last.revision > minor);
        let is_new = |known: &&KnownChange<T>| is_major(known) || is_minor(known);
        let mut new: Vec<&KnownChange<T>> = self.by_key.values().filter(is_new).collect();
        new.sort_unstable_by_key(|known| known.last.revision);
        let mut minor = 0;
        new.retain(|known| {
            minor += usize::from(!is_major(known));
            is_major(known) || minor <= MAX_MINOR_CHANGES
        });
        ChangesSince::Changes(
            new.into_iter()
                .map(|known| known.last.value.clone())
                .collect(),
        )
    }
}
