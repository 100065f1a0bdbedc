//! Messages between the daemons, and the connections that carry them.
//!
//! `schema/jasmine.capnp` is the source of `generated/jasmine_capnp.rs`; CONTRIBUTING.md has the
//! command that makes it anew.

#[rustfmt::skip]
#[allow(missing_docs, warnings, clippy::all, clippy::pedantic, reason = "generated code")]
#[path = "generated/jasmine_capnp.rs"]
pub mod jasmine_capnp;

pub mod convert;
pub mod link;
