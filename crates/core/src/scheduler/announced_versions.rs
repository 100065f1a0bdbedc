use {
    super::VersionLimit,
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion},
    },
    std::{
        collections::{BTreeMap, HashMap},
        ops::Bound,
    },
};

/// How an operator's announcement became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It was made while this VM followed the store.
    New {
        /// The latest time at which the store is known not to have held it yet.
        absent_at: Millis,
    },
    /// It was found in the store at startup and may be of any age.
    Found,
}

impl Announcement {
    /// An announcement that the store is known not to have held yet at `absent_at`, if that is known.
    pub fn after(absent_at: Option<Millis>) -> Self {
        absent_at.map_or(Self::Found, |absent_at| Self::New { absent_at })
    }
}

/// The newest version of an adapter that an operator has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewestVersion {
    /// The version, and until when requests may begin on older ones.
    pub limit: VersionLimit,
    /// The latest time at which the store is known not to have held it yet; `None` if that isn't known.
    pub absent_at: Option<Millis>,
}

/// The announced versions of one adapter.
#[derive(Clone, Debug)]
struct Announced {
    newest: NewestVersion,
    /// Until when requests may begin on a version older than the key.
    ///
    /// Each version has a limit of its own: a later announcement doesn't extend those before it.
    older_until: BTreeMap<u32, Millis>,
}

impl Announced {
    /// Adds the limit of a new version, and drops those that an expired one covers.
    fn add_limit(
        &mut self,
        version: u32,
        until: Millis,
        now: Millis,
    ) {
        self.older_until.insert(version, until);
        let expired = self.older_until.iter().filter(|&(_, &until)| until <= now);
        if let Some(last) = expired.map(|(&version, _)| version).max() {
            self.older_until.retain(|&version, _| version >= last);
        }
    }

    /// Until when requests may begin on a version; `None` if no newer one is announced.
    fn usable_until(
        &self,
        version: u32,
    ) -> Option<Millis> {
        let newer = (Bound::Excluded(version), Bound::Unbounded);
        let limits = self.older_until.range(newer);
        limits.map(|(_, &until)| until).min()
    }
}

/// The adapter versions announced by operators.
#[derive(Clone, Debug, Default)]
pub(super) struct AnnouncedVersions {
    announced: HashMap<AdapterId, Announced>,
}

/// Version of an adapter before any announcement.
const INITIAL_VERSION: u32 = 1;

impl AnnouncedVersions {
    /// Records an announcement; ignores versions that are not newer.
    ///
    /// Requests may begin on older versions until `older_version_time` after the announcement was known to be absent,
    /// however late it has been read.
    pub(super) fn announce(
        &mut self,
        adapter: AdapterId,
        version: u32,
        source: Announcement,
        older_version_time: Millis,
        now: Millis,
    ) {
        // A full read of the store repeats versions that are known, whose age it doesn't tell.
        if self
            .announced_version(adapter)
            .is_some_and(|known| known >= version)
        {
            return;
        }
        let (absent_at, older_until) = match source {
            Announcement::New { absent_at } => (Some(absent_at), absent_at + older_version_time),
            Announcement::Found => (None, now),
        };
        let limit = VersionLimit {
            version,
            older_until,
        };
        self.learn(adapter, NewestVersion { limit, absent_at }, now);
    }

    /// Records a version with its limit; of two limits for the newest version the later one holds.
    pub(super) fn learn(
        &mut self,
        adapter: AdapterId,
        newest: NewestVersion,
        now: Millis,
    ) {
        let VersionLimit {
            version,
            older_until,
        } = newest.limit;
        match self.newest(adapter) {
            Some(known) if known.limit.version > version => return,
            // Each limit is before the ack plus the bound, so that the latest one is valid.
            Some(known)
                if known.limit.version == version && known.limit.older_until >= older_until =>
            {
                return;
            }
            _ => {}
        }
        let known = self.announced.entry(adapter).or_insert_with(|| Announced {
            newest,
            older_until: BTreeMap::new(),
        });
        known.newest = newest;
        known.add_limit(version, older_until, now);
    }

    /// The newest announced version of an adapter.
    pub(super) fn newest(
        &self,
        adapter: AdapterId,
    ) -> Option<NewestVersion> {
        self.announced.get(&adapter).map(|known| known.newest)
    }

    /// Version that new requests should use: the announced one, or the initial one.
    pub(super) fn wanted(
        &self,
        adapter: AdapterId,
    ) -> AdapterVersion {
        let version = self.announced_version(adapter).unwrap_or(INITIAL_VERSION);
        AdapterVersion { adapter, version }
    }

    /// Version that an operator announced; `None` without an announcement.
    pub(super) fn announced_version(
        &self,
        adapter: AdapterId,
    ) -> Option<u32> {
        self.newest(adapter).map(|newest| newest.limit.version)
    }

    /// Until when requests may begin on a version, `None` if no newer one is announced; without a version, on the initial
    /// one.
    pub(super) fn usable_until(
        &self,
        adapter: AdapterId,
        version: Option<u32>,
    ) -> Option<Millis> {
        let announced = self.announced.get(&adapter)?;
        announced.usable_until(version.unwrap_or(INITIAL_VERSION))
    }
}
