use {crate::clock::Millis, std::collections::HashMap};

/// How long a change is kept for those who ask for what is new: somewhat longer than the longest pause between two
/// questions of one VM.
const KEPT: Millis = Millis(10_000);

/// Minor changes in one answer. Thousands of upstreams change every second: told all at once to each VM of a data centre
/// they would fill its links, and the answers come too late.
pub const MAX_MINOR: usize = 64;

/// A change of one key.
#[derive(Clone, Debug)]
pub struct Change<T> {
    /// The store's revision that it made.
    pub revision: u64,
    /// What has become of the key.
    pub what: T,
}

/// What has changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since<T> {
    /// These, in order.
    Changes(Vec<T>),
    /// What was so long ago isn't known.
    Gone,
}

#[derive(Clone, Debug)]
struct Kept<T> {
    last: Change<T>,
    /// The last change of the key that nobody may learn late; 0 for none.
    major_revision: u64,
    at: Millis,
}

/// The last change of each key that changed lately.
///
/// Of several changes of a key only the last matters to whoever hasn't seen any of them.
#[derive(Clone, Debug)]
pub struct RecentChanges<T> {
    of_key: HashMap<String, Kept<T>>,
    /// All later major changes are known.
    complete_after: u64,
    revision: u64,
}

impl<T> Default for RecentChanges<T> {
    fn default() -> Self {
        Self {
            of_key: HashMap::new(),
            complete_after: 0,
            revision: 0,
        }
    }
}

impl<T> RecentChanges<T>
where
    T: Clone,
{
    /// Begins anew at a revision, at which all was read.
    pub fn reset(
        &mut self,
        revision: u64,
    ) {
        self.of_key.clear();
        self.complete_after = revision;
        self.revision = revision;
    }

    /// Notes a change; false where a later one of the key is known already.
    pub fn note(
        &mut self,
        key: &str,
        change: Change<T>,
        is_major: bool,
        now: Millis,
    ) -> bool {
        let before = self.of_key.get(key);
        if before.is_some_and(|before| before.last.revision >= change.revision) {
            return false;
        }
        let major_revision = match before {
            _ if is_major => change.revision,
            Some(before) => before.major_revision,
            None => 0,
        };
        let kept = Kept {
            last: change,
            major_revision,
            at: now,
        };
        self.of_key.insert(key.to_owned(), kept);
        true
    }

    /// Notes that everything up to a revision has been noted, and forgets what is old.
    pub fn advance(
        &mut self,
        revision: u64,
        now: Millis,
    ) {
        self.revision = self.revision.max(revision);
        let complete_after = &mut self.complete_after;
        self.of_key.retain(|_, kept| {
            let stays = now.since(kept.at) < KEPT;
            if !stays {
                *complete_after = (*complete_after).max(kept.major_revision);
            }
            stays
        });
    }

    /// Whether a change of a key is kept.
    pub fn has(
        &self,
        key: &str,
    ) -> bool {
        self.of_key.contains_key(key)
    }

    /// The revision up to which everything is known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The keys whose last major change is later than `after`, and, if there is a `minor_after`, the first
    /// [`MAX_MINOR`] whose last change of any kind is later than that; old minor changes may be missing.
    pub fn since(
        &self,
        after: u64,
        minor_after: Option<u64>,
    ) -> Since<T> {
        if after < self.complete_after {
            return Since::Gone;
        }
        let is_major = |kept: &Kept<T>| kept.major_revision > after;
        let is_minor = |kept: &Kept<T>| minor_after.is_some_and(|minor| kept.last.revision > minor);
        let is_new = |kept: &&Kept<T>| is_major(kept) || is_minor(kept);
        let mut new: Vec<&Kept<T>> = self.of_key.values().filter(is_new).collect();
        new.sort_unstable_by_key(|kept| kept.last.revision);
        let mut minor = 0;
        new.retain(|kept| {
            minor += usize::from(!is_major(kept));
            is_major(kept) || minor <= MAX_MINOR
        });
        Since::Changes(new.into_iter().map(|kept| kept.last.what.clone()).collect())
    }
}
