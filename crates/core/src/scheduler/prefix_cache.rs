use {
    crate::{clock::Millis, ids::AdapterId, ingress::PromptPart},
    std::collections::HashMap,
};

/// Parts remembered for one engine. An engine of the users' holds some hundred thousand tokens, a part has
/// a few hundred.
const MOST_PARTS: usize = 512;
/// A part that was not used for this long counts as gone: an engine's memory turns over in about that time
/// on a busy day.
const KEPT: Millis = Millis(15_000);

/// Which beginnings of prompts an engine still has, by what was sent to it.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    used: HashMap<(Option<AdapterId>, u64), Millis>,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that need not be read again.
    pub(super) fn cached(
        &self,
        adapter: Option<AdapterId>,
        parts: &[PromptPart],
        now: Millis,
    ) -> u32 {
        parts
            .iter()
            .take_while(|part| {
                let used = self.used.get(&(adapter, part.id));
                used.is_some_and(|&at| now.since(at) < KEPT)
            })
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that a prompt was read.
    pub(super) fn note(
        &mut self,
        adapter: Option<AdapterId>,
        parts: &[PromptPart],
        now: Millis,
    ) {
        for part in parts {
            self.used.insert((adapter, part.id), now);
        }
        if self.used.len() > MOST_PARTS {
            self.used.retain(|_, at| now.since(*at) < KEPT);
        }
        if self.used.len() > MOST_PARTS {
            self.used.clear();
        }
    }
}
