use {
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion},
    },
    std::collections::HashMap,
};

/// How an announcement became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// It was made just now.
    New,
    /// It was there when the store was read. It may be seconds old: a VM that has just started must not count the
    /// time from then on, or the old version is used twice as long as allowed.
    Found,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u32,
    /// When it was made; none where that isn't known.
    made_at: Option<Millis>,
}

/// The versions of adapters that operators have announced.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionBook {
    announced: HashMap<AdapterId, Announced>,
}

/// The version that an adapter has before any is announced.
const FIRST: u32 = 1;

impl VersionBook {
    /// Notes an announcement; an older one than is known changes nothing.
    pub(super) fn announce(
        &mut self,
        adapter: AdapterId,
        version: u32,
        how: Announcement,
        now: Millis,
    ) {
        let known = self.announced.get(&adapter);
        if known.is_none_or(|known| known.version < version) {
            let made_at = (how == Announcement::New).then_some(now);
            self.announced
                .insert(adapter, Announced { version, made_at });
        }
    }

    /// The version that is to be used.
    pub(super) fn wanted(
        &self,
        adapter: AdapterId,
    ) -> AdapterVersion {
        let version = self.announced_version(adapter).unwrap_or(FIRST);
        AdapterVersion { adapter, version }
    }

    /// The version that an operator has named, if one has.
    pub(super) fn announced_version(
        &self,
        adapter: AdapterId,
    ) -> Option<u32> {
        self.announced.get(&adapter).map(|known| known.version)
    }

    /// Whether an older version may still be used.
    pub(super) fn in_grace(
        &self,
        adapter: AdapterId,
        grace: Millis,
        now: Millis,
    ) -> bool {
        let made_at = self.announced.get(&adapter).and_then(|known| known.made_at);
        made_at.is_some_and(|made_at| now.since(made_at) < grace)
    }
}
