use crate::{
    clock::Millis,
    ids::{AccountId, AdapterVersion, Fence, Holder, UpstreamId, VmId},
    placement::Instance,
};

/// An engine that this controller has come to own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The engine.
    pub upstream: UpstreamId,
    /// The fencing token taken with it; higher than any former owner's.
    pub fence: Fence,
    /// Whether the engine refuses orders with an older token.
    pub checks_fencing: bool,
    /// Adapters it holds at a time.
    pub slots: u32,
}

/// What a gateway says of itself with each poll; its word as a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The gateway.
    pub from: Holder,
    /// The highest fencing token it has seen of each engine.
    pub seen: Vec<(UpstreamId, Fence)>,
    /// The instances it routes to or still has work on.
    pub held: Vec<Instance>,
}

/// A gateway's question for an adapter version on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The gateway.
    pub from: Holder,
    /// The question's number, growing with each that this gateway asks.
    pub ask: u64,
    /// The engine.
    pub upstream: UpstreamId,
    /// What is wanted.
    pub adapter: AdapterVersion,
    /// For whose request.
    pub account: AccountId,
    /// How long the answer may be held back while the load is under way.
    pub wait: Millis,
}

/// A gateway's word that it has dropped instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The gateway.
    pub from: Holder,
    /// The highest fencing token the gateway has seen of the engine; a word goes to no older owner.
    pub fence: Fence,
    /// The word covers what was granted for questions up to this number.
    pub ask: u64,
    /// What it has dropped.
    pub instances: Vec<Instance>,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The instance is loaded.
    Loaded,
    /// The engine could not load the weights.
    Failed,
    /// The engine has no free slot.
    NoFreeSlot,
    /// The engine has seen a newer owner.
    StaleFence,
    /// No answer came; it may be loaded now or later.
    Unknown,
}

/// How an unload ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadResult {
    /// The instance is gone, or was not there.
    Gone,
    /// The engine has seen a newer owner.
    StaleFence,
    /// No answer came; it may still take effect at any time.
    Unknown,
}

/// An engine's own report, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The engine.
    pub upstream: UpstreamId,
    /// Changes when the engine restarts.
    pub boot: u64,
    /// Adapters it holds at a time.
    pub slots: u32,
    /// What it says is loaded.
    pub instances: Vec<Instance>,
}

/// What an [`super::OwnerMachine`] is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The platform has confirmed this controller's lease until this time of its own clock.
    LeaseExtended(Millis),
    /// An engine has come to this controller, or its fencing token has been renewed.
    Gained(Ownership),
    /// An engine is no longer this controller's.
    Lost(UpstreamId),
    /// The VMs whose gateways may hold grants: all that are not proven to have stopped.
    Members(Vec<VmId>),
    /// A gateway has polled.
    Polled(Poll),
    /// A gateway wants an adapter version.
    Acquire(Ask),
    /// A gateway has dropped instances.
    Released(Release),
    /// The engine has taken (`true`) or refused the fencing token.
    FenceRaised(UpstreamId, Fence, bool),
    /// A load has ended.
    LoadEnded(Instance, LoadResult),
    /// An unload has ended.
    UnloadEnded(Instance, UnloadResult),
    /// An engine has reported.
    Reported(Report),
    /// This many loads may begin.
    BudgetGranted(u32),
    /// Time has passed.
    Tick,
}
