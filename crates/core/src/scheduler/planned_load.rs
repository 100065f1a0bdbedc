use crate::{
    adapter_demand::Trend,
    ids::{AdapterId, UpstreamId},
};

/// A load ordered ahead of demand, with the figures that it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedLoad {
    /// Engine that loads the copy.
    pub upstream: UpstreamId,
    /// Adapter that is loaded.
    pub adapter: AdapterId,
    /// Expected requests per second for it.
    pub rate: f64,
    /// Whether they become more.
    pub trend: Trend,
    /// Queued requests for it.
    pub queued: u32,
    /// Copies before this one.
    pub copies: u32,
    /// Copies that its rate or its queue calls for.
    pub wanted: u32,
}
