use {
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion},
    },
    std::collections::HashMap,
};

/// How an announced version became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It was announced just now.
    New,
    /// It was found in the store at startup and may be old, so no grace period starts.
    Found,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u32,
    /// When it was announced; `None` if unknown.
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
        if known.is_none_or(|known| known.version < version) {
            let announced_at = (source == Announcement::New).then_some(now);
            self.announced.insert(
                adapter,
                Announced {
                    version,
                    announced_at,
                },
            );
        }
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
        self.announced.get(&adapter).map(|known| known.version)
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
