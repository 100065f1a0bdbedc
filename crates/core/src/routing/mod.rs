//! Request routing of a gateway: each request goes to the copy with the least expected wait.
//!
//! A [`Router`] combines the engines' lagging reports with its own requests in flight. It sends
//! requests for an adapter only to instances that it holds a grant for, acquires a grant from the
//! engine's owner if it has none, and releases grants that an owner recalls.

mod adapter_entry;
mod choose;
mod circuit_breaker;
mod engine;
mod engine_view;
mod grants;
mod route;
mod router;
mod settings;
mod upstream_spec;

pub use {
    engine_view::EngineView,
    route::{RequestOutcome, Route, RouterAction, Target},
    router::Router,
    settings::RouterSettings,
    upstream_spec::{UpstreamSpec, UpstreamSpecKind},
};
