use crate::ids::{AdapterId, AdapterVersion, Fence, UpstreamId};

/// An adapter version as loaded on one engine under one owner's fencing token.
///
/// The fencing token is part of the name that the engine knows. An order of a former owner that
/// arrives late therefore names something that its successor never routes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// The engine.
    pub upstream: UpstreamId,
    /// What is loaded.
    pub adapter: AdapterVersion,
    /// The fencing token of the owner that loaded it.
    pub fence: Fence,
}

impl Instance {
    /// The name on the engine: `<adapter>-<version>-<fence>`.
    pub fn name(&self) -> String {
        format!(
            "{}-{}-{}",
            self.adapter.adapter, self.adapter.version, self.fence
        )
    }

    /// Reads a name as the engine `upstream` reports it; `None` for a name that no owner gave.
    pub fn parse(
        upstream: UpstreamId,
        name: &str,
    ) -> Option<Self> {
        let mut parts = name.splitn(3, '-');
        let adapter = AdapterId(parts.next()?.parse().ok()?);
        let version = parts.next()?.parse().ok()?;
        let fence = Fence(parts.next()?.parse().ok()?);
        let instance = Self {
            upstream,
            adapter: AdapterVersion { adapter, version },
            fence,
        };
        // `01-2-3` and `+1-2-3` parse as numbers, but no owner writes them so.
        (instance.name() == name).then_some(instance)
    }
}
