use {
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion},
    },
    std::collections::HashMap,
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

/// The newest version of an adapter that an operator has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewestVersion {
    /// The version.
    pub version: u32,
    /// The latest time at which the store is known not to have held it yet; `None` if it was found at startup.
    pub absent_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    newest: NewestVersion,
    /// When it became known; `None` if it was found at startup.
    announced_at: Option<Millis>,
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
    pub(super) fn announce(
        &mut self,
        adapter: AdapterId,
        version: u32,
        source: Announcement,
        now: Millis,
    ) {
        let known = self.announced.get(&adapter);
        if known.is_none_or(|known| known.newest.version < version) {
            let absent_at = match source {
                Announcement::New { absent_at } => Some(absent_at),
                Announcement::Found => None,
            };
            self.announced.insert(
                adapter,
                Announced {
                    newest: NewestVersion { version, absent_at },
                    announced_at: absent_at.map(|_| now),
                },
            );
        }
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
        self.newest(adapter).map(|newest| newest.version)
    }

    /// Whether an older version may still be used.
    pub(super) fn is_in_grace_period(
        &self,
        adapter: AdapterId,
        grace: Millis,
        now: Millis,
    ) -> bool {
        let announced_at = self
            .announced
            .get(&adapter)
            .and_then(|known| known.announced_at);
        announced_at.is_some_and(|announced_at| now.since(announced_at) < grace)
    }
}
