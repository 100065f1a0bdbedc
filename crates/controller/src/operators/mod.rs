//! HTTP API for operators.
//!
//! Handlers check the token, parse the query or body, send one message through [`OperatorsLink`] and
//! return the reply as JSON. They don't depend on the store or on peers.

mod api_error;
mod guard;
mod link;
mod queries;
mod routes;

pub use {
    api_error::ApiError,
    link::{
        OperatorsLink, ReadFleet, ReadFleetResult, ReadTree, ReadTreeResult, SubmitEdit,
        SubmitEditResult, SubmitError, TreeView,
    },
    routes::{configure, listen},
};
