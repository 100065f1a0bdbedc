use crate::ids::{DataCentreId, UpstreamId};

/// An engine as a place where adapters can live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSlot {
    /// The engine.
    pub upstream: UpstreamId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Its share of the adapters relative to the others, usually its number of adapter slots.
    pub weight: u32,
}
