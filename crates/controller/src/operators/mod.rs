//! Operators' HTTP.
//!
//! The handlers are thin: they check the token, read the query or body, send one typed message to
//! whoever holds the configuration ([`OperatorsLink`]) and turn the answer into JSON. Nothing here
//! knows the store or the peers.

mod answers;
mod api_error;
mod guard;
mod link;
mod routes;

pub use {
    api_error::ApiError,
    link::{
        FleetAnswer, OperatorsLink, ReadFleet, ReadTree, SubmitAnswer, SubmitEdit, SubmitError,
        TreeAnswer, TreeView,
    },
    routes::{configure, listen},
};
