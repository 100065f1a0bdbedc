use {
    crate::{clock::Millis, ids::AdapterId, ingress::PromptPart},
    std::collections::HashMap,
};

/// Upper bound of parts tracked per engine, above what its KV cache holds.
///
/// An engine holds some hundred thousand tokens, and a part has a few hundred.
const MAX_PARTS: usize = 512;
/// Time after its last use at which a part counts as evicted from the KV cache.
///
/// An engine's memory turns over in about that time on a busy day.
const PART_TTL: Millis = Millis(15_000);

/// Estimate of the prompt prefixes in an engine's KV cache, from the prompts sent to it.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    last_used_at: HashMap<(Option<AdapterId>, u64), Millis>,
}

impl PrefixCache {
    /// Tokens at the start of a prompt that need no prefill.
    pub(super) fn cached(
        &self,
        adapter: Option<AdapterId>,
        parts: &[PromptPart],
        now: Millis,
    ) -> u32 {
        parts
            .iter()
            .take_while(|part| {
                let last_used_at = self.last_used_at.get(&(adapter, part.id));
                last_used_at.is_some_and(|&at| now.since(at) < PART_TTL)
            })
            .map(|part| part.tokens)
            .sum()
    }

    /// Records that a prompt was prefilled.
    pub(super) fn note(
        &mut self,
        adapter: Option<AdapterId>,
        parts: &[PromptPart],
        now: Millis,
    ) {
        for part in parts {
            self.last_used_at.insert((adapter, part.id), now);
        }
        if self.last_used_at.len() > MAX_PARTS {
            self.last_used_at.retain(|_, at| now.since(*at) < PART_TTL);
        }
        if self.last_used_at.len() > MAX_PARTS {
            self.last_used_at.clear();
        }
    }
}
