use {
    super::{Job, engine::Engine},
    crate::clock::Millis,
};

/// Cost of a request on a particular engine, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Prompt tokens to prefill, without those in the prefix cache.
    pub prefill_tokens: f64,
    /// Prompt and output tokens that the request occupies in the KV cache.
    pub total: u64,
}

impl Load {
    /// The cost of a request on an engine.
    pub(super) fn of(
        job: &Job,
        engine: &Engine,
        now: Millis,
    ) -> Self {
        let Some(generation) = job.generation() else {
            return Self::default();
        };
        let cached = engine
            .prefixes
            .cached(generation.adapter, &generation.parts, now);
        let size = generation.size;
        Self {
            prefill_tokens: f64::from(size.prompt.saturating_sub(cached.min(size.prompt))),
            total: size.total(),
        }
    }
}
