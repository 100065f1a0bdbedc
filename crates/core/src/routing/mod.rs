//! Where a gateway sends each request: the resident copy with the least expected wait.
//!
//! A [`Router`] knows the engines' lagging reports, its own work in flight and the grants it holds.
//! It sends work of an adapter only to an instance it holds a grant for, asks the engine's owner
//! where it holds none, and gives its word when an owner recalls one.

mod adapter_entry;
mod breaker;
mod choose;
mod engine;
mod engine_view;
mod grants;
mod route;
mod router;
mod settings;
mod upstream_spec;

pub use {
    engine_view::EngineView,
    route::{Finish, Route, RouterAction, Target},
    router::Router,
    settings::RouterSettings,
    upstream_spec::{SpecKind, UpstreamSpec},
};
