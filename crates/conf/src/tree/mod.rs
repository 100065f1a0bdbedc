//! The tree that operators edit.
//!
//! The first levels are given: `/accounts`, `/adapters`, `/data-centres`, `/models`, `/services` and
//! `/upstreams`. Below them operators make groups to any depth up to [`MAX_DEPTH`], and in the groups
//! the things themselves:
//!
//! ```text
//! /accounts/clinics/san-juan            account      rate, burst, weight, ...
//! /accounts/clinics/san-juan/phones     key          digest, withdrawn
//! /adapters/clinics/enrolment           adapter      model, access, live
//! /adapters/clinics/enrolment/3         version      weights
//! /data-centres/gt-central-1            data-centre  region
//! /models/base-8b                       model
//! /services/enrolment                   service      deadline_ms, priority, cost
//! /services/enrolment/begin             call         method, path, idempotent, ...
//! /upstreams/gt-central-1/engine-1      engine       address, model, data_centre, slots, ...
//! /upstreams/gt-central-1/booking-1     server       address, service, data_centre, ...
//! ```
//!
//! A setting that is inherited may be written on the root, on any group above, or on the thing
//! itself; the nearest level wins and overrides only that one setting. The set of settings is closed
//! ([`Setting`]), each with type, range, default and the kinds that it applies to ([`Rule`]).
//!
//! A thing's name is the last name of its path and is unique in its [`Family`] over the whole tree, so
//! that callers, engines and references need no path. Its number is given out when it is created
//! and never again, so a thing made anew under an old name is another thing everywhere.
//!
//! An [`Edit`] holds ops that are carried out all or not at all. [`Tree::propose`] checks it as a
//! whole and gives the [`Accepted`] record that goes into the store; [`Tree::apply`] carries out
//! what is accepted, without checks, on every VM alike; [`Tree::refresh`] brings the resolved
//! [`crate::fleet::Fleet`] up to date for no more than what was touched.

mod accepted;
mod bodies;
mod commands;
mod conflict;
mod edit;
mod edit_error;
mod edit_id;
mod edit_log;
mod edit_op;
mod family;
mod node;
mod node_kind;
mod path;
mod queries;
mod rule;
mod setting;
mod settings;
mod shape;
mod standing;
mod touched;
mod tree_nodes;
mod value;

pub use {
    accepted::Accepted,
    bodies::{EditsBody, TreeBody},
    commands::{MAX_EDIT_BYTES, Proposal},
    conflict::Conflict,
    edit::Edit,
    edit_error::EditError,
    edit_id::EditId,
    edit_log::{EditLog, LOG_EDITS, LOG_OPS},
    edit_op::EditOp,
    family::Family,
    node::Node,
    node_kind::NodeKind,
    path::{MAX_DEPTH, MAX_NAME, Path},
    queries::{Explanation, Level},
    rule::Rule,
    setting::Setting,
    settings::Settings,
    shape::Shape,
    standing::Standing,
    touched::{Removed, Touched},
    tree_nodes::{COLLECTIONS, Tree},
    value::Value,
};
