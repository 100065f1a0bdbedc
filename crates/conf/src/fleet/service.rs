use jasmine_core::{clock::Millis, ids::ServiceId, queue::Priority};

/// One API endpoint of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The name in the tree.
    pub name: String,
    /// The HTTP method in upper case.
    pub method: String,
    /// The path at the service; `{}` matches any one segment.
    pub path: String,
    /// Whether the call is idempotent.
    pub idempotent: bool,
    /// The deadline of the call.
    pub deadline: Millis,
    /// The priority class of the call.
    pub priority: Priority,
    /// The cost for the client account, in tokens.
    pub cost: u64,
}

/// A plain HTTP service that is not a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The id assigned at creation.
    pub id: ServiceId,
    /// The name used in request paths.
    pub name: String,
    /// The calls configured by operators.
    pub calls: Vec<Call>,
}
