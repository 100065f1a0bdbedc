use crate::ids::{AdapterId, AdapterVersion, Fence, UpstreamId};

/// An adapter version loaded on one engine under an owner's fencing token.
///
/// The fencing token is part of the adapter's name on the engine. A late order of a former owner
/// therefore refers to an instance that the current owner never routes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// The engine that has it loaded.
    pub upstream: UpstreamId,
    /// The loaded adapter version.
    pub adapter: AdapterVersion,
    /// The fencing token of the owner that loaded it.
    pub fence: Fence,
}

impl Instance {
    /// The name of the instance on the engine: `<adapter>-<version>-<fence>`.
    pub fn name(&self) -> String {
        format!(
            "{}-{}-{}",
            self.adapter.adapter, self.adapter.version, self.fence
        )
    }

    /// Parses an instance name that engine `upstream` reports; `None` if it is not canonical.
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
        // Rejects non-canonical numbers such as `01-2-3` and `+1-2-3`.
        (instance.name() == name).then_some(instance)
    }
}
