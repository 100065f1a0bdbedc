use crate::{
    clock::Millis,
    ids::{AccountId, AdapterVersion, Fence, Holder, UpstreamId, VmId},
    placement::Instance,
};

/// Ownership of an engine by this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The engine that this controller owns.
    pub upstream: UpstreamId,
    /// The fencing token of this ownership; higher than that of any former owner.
    pub fence: Fence,
    /// Whether the engine supports fencing, that is, can refuse orders with an older token.
    pub checks_fencing: bool,
    /// Number of adapter slots.
    pub slots: u32,
}

/// A poll by a gateway, with the fencing tokens it has seen and the grants it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The gateway that polls.
    pub from: Holder,
    /// The highest fencing token it has seen for each engine.
    pub seen: Vec<(UpstreamId, Fence)>,
    /// The instances it holds grants for.
    pub held: Vec<Instance>,
}

/// A gateway's request to acquire an adapter version on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcquireRequest {
    /// The gateway that needs the adapter.
    pub from: Holder,
    /// Request id; increases with each request of this gateway.
    pub ask: u64,
    /// The engine on which the adapter is wanted.
    pub upstream: UpstreamId,
    /// The requested adapter version.
    pub adapter: AdapterVersion,
    /// The client account whose request needs it.
    pub account: AccountId,
    /// How long the reply may be delayed while the load is in progress.
    pub wait: Millis,
}

/// A gateway's confirmation that it has released its grants for instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The gateway that no longer uses the instances.
    pub from: Holder,
    /// The highest fencing token the gateway has seen for the engine; older owners ignore it.
    pub fence: Fence,
    /// Covers grants made for requests with an id up to this one.
    pub ask: u64,
    /// Adapter copies that the gateway sends no more requests to.
    pub instances: Vec<Instance>,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The engine has loaded the instance and can serve it.
    Loaded,
    /// The engine could not load the weights.
    Failed,
    /// The engine has no free slot.
    NoFreeSlot,
    /// The engine refused the order because it has seen a newer fencing token.
    StaleFence,
    /// No response; the load may have taken effect or may do so later.
    Unknown,
}

/// How an unload ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadResult {
    /// The instance is not loaded any more, or was not loaded.
    Gone,
    /// The engine refused the order because it has seen a newer fencing token.
    StaleFence,
    /// No response; the unload may still take effect at any time.
    Unknown,
}

/// An engine's report of what it has loaded; it lags behind the engine's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The engine that sent the report.
    pub upstream: UpstreamId,
    /// Boot id of the engine; changes when the engine restarts.
    pub boot: u64,
    /// Number of adapter slots.
    pub slots: u32,
    /// The instances it reports as loaded.
    pub instances: Vec<Instance>,
}

/// An input of an [`super::OwnerMachine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// This controller's lease is confirmed until this time of its own clock.
    LeaseExtended(Millis),
    /// This controller has gained ownership of an engine, or its fencing token was renewed.
    OwnershipGained(Ownership),
    /// This controller has lost ownership of an engine.
    OwnershipLost(UpstreamId),
    /// The VMs whose gateways may hold grants: all that are not known to have stopped.
    Members(Vec<VmId>),
    /// A gateway has reported its grants and the fencing tokens it has seen.
    Polled(Poll),
    /// A gateway requests an adapter version.
    Acquire(AcquireRequest),
    /// A gateway has given up grants, so that the copies can be unloaded.
    Released(Release),
    /// The engine has accepted (`true`) or refused the fencing token.
    FenceRaised(UpstreamId, Fence, bool),
    /// A load order has succeeded, failed or gone without response.
    LoadEnded(Instance, LoadResult),
    /// An unload order has succeeded, been refused or gone without response.
    UnloadEnded(Instance, UnloadResult),
    /// An engine has listed the instances that it has loaded.
    Reported(Report),
    /// Budget for this many more loads was granted.
    BudgetGranted(u32),
    /// Timer tick.
    Tick,
}
