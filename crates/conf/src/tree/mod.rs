//! The tree that operators edit.
//!
//! The top-level groups are built in: `/accounts`, `/adapters`, `/data-centres`, `/models`,
//! `/services` and `/upstreams`. Below them operators create groups, up to a depth of
//! [`MAX_PATH_LEVELS`], and within the groups the entities:
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
//! An inherited setting may be set on the root, on any group above the entity, or on the entity
//! itself; the nearest level wins. Settings are a closed set ([`Setting`]), each with a type, a range,
//! a default and the node kinds that it applies to ([`SettingSpec`]).
//!
//! The name of an entity is the last name of its path and is unique in its [`Family`], so callers,
//! engines and references don't need the path. A key is named by its digest instead. The number of an
//! entity is assigned at creation and never reused, so an entity created again under an old name gets
//! a new identity.
//!
//! An [`Edit`] is applied atomically. [`Tree::propose`] validates it and returns the [`AcceptedEdit`]
//! record to store; [`Tree::apply`] applies an accepted edit without validation, with the same result
//! on every VM; [`Tree::refresh`] updates the changed parts of the resolved [`crate::fleet::Fleet`].

mod accepted_edit;
mod bodies;
mod commands;
mod conflict;
mod edit;
mod edit_error;
mod edit_id;
mod edit_log;
mod edit_op;
mod entity_changes;
mod family;
mod node;
mod node_kind;
mod path;
mod queries;
mod setting;
mod setting_scope;
mod setting_spec;
mod settings;
mod tree_nodes;
mod value;
mod value_type;

pub use {
    accepted_edit::AcceptedEdit,
    bodies::{EditsBody, TreeBody},
    commands::{MAX_EDIT_BYTES, Proposal},
    conflict::Conflict,
    edit::Edit,
    edit_error::EditError,
    edit_id::EditId,
    edit_log::{EditLog, MAX_LOG_EDITS, MAX_LOG_OPS},
    edit_op::EditOp,
    entity_changes::{EntityChanges, RemovedEntity},
    family::Family,
    node::Node,
    node_kind::NodeKind,
    path::{MAX_NAME_BYTES, MAX_PATH_LEVELS, Path},
    queries::{Explanation, Level},
    setting::Setting,
    setting_scope::SettingScope,
    setting_spec::SettingSpec,
    settings::Settings,
    tree_nodes::{COLLECTIONS, Tree},
    value::Value,
    value_type::ValueType,
};
