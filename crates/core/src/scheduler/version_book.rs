use {
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion},
    },
    std::collections::HashMap,
};

#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u32,
    seen_at: Millis,
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
        now: Millis,
    ) {
        let known = self.announced.get(&adapter);
        if known.is_none_or(|known| known.version < version) {
            let seen_at = now;
            self.announced
                .insert(adapter, Announced { version, seen_at });
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
        let known = self.announced.get(&adapter);
        known.is_some_and(|known| now.since(known.seen_at) < grace)
    }
}
