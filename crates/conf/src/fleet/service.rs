use jasmine_core::{clock::Millis, ids::ServiceId, queue::Priority};

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its name in the tree.
    pub name: String,
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path at the service; `{}` stands for any one segment.
    pub path: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How long it may take.
    pub deadline: Millis,
    /// Its priority class.
    pub priority: Priority,
    /// Tokens it costs its client account.
    pub cost: u64,
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its number.
    pub id: ServiceId,
    /// Its name, as callers write it in the path.
    pub name: String,
    /// The calls that operators have described.
    pub calls: Vec<Call>,
}
