//! RPC messages between the daemons, and the connections that carry them.
//!
//! The code in `generated/` is generated from `schema/jasmine.capnp` and `schema/scheduler.capnp`;
//! CONTRIBUTING.md has the command that regenerates it.

#[rustfmt::skip]
#[allow(missing_docs, warnings, clippy::all, clippy::pedantic, reason = "generated code")]
#[path = "generated/jasmine_capnp.rs"]
pub mod jasmine_capnp;

#[rustfmt::skip]
#[allow(missing_docs, warnings, clippy::all, clippy::pedantic, reason = "generated code")]
#[path = "generated/scheduler_capnp.rs"]
pub mod scheduler_capnp;

pub mod convert;
pub mod link;
