use crate::ids::{DataCentreId, UpstreamId};

/// An engine as a candidate for the placement of adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCandidate {
    /// The upstream id of the engine.
    pub upstream: UpstreamId,
    /// The data centre of the engine.
    pub data_centre: DataCentreId,
    /// Relative share of the adapters, usually the number of adapter slots.
    pub weight: u32,
}
