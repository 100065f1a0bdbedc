use {
    actix::prelude::{Message, Recipient},
    jasmine_conf::{
        api::FleetStatus,
        tree::{AcceptedEdit, Edit, EditError, EditLog, Tree},
    },
    jasmine_core::error::ErrorKind,
};

/// Actor recipients for the operators' HTTP handlers.
///
/// They are usually one actor and can be used from any thread.
#[derive(Clone, Debug)]
pub struct OperatorsLink {
    /// Returns the current tree.
    pub read: Recipient<ReadTree>,
    /// Writes edits to the store.
    pub submit: Recipient<SubmitEdit>,
    /// Returns the state of the fleet.
    pub fleet: Recipient<ReadFleet>,
}

/// The current tree and the newest edits; both are cheap to clone.
#[derive(Clone, Debug)]
pub struct TreeView {
    /// Tree at the current revision.
    pub tree: Tree,
    /// Log of the newest edits.
    pub log: EditLog,
}

/// Reply to [`ReadTree`]; an error while no configuration is loaded.
pub type ReadTreeResult = Result<TreeView, ErrorKind>;
/// Reply to [`SubmitEdit`].
pub type SubmitEditResult = Result<AcceptedEdit, SubmitError>;
/// Reply to [`ReadFleet`].
pub type ReadFleetResult = Result<FleetStatus, ErrorKind>;

/// Requests the current tree.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "ReadTreeResult")]
pub struct ReadTree;

/// Requests the state of all VMs.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "ReadFleetResult")]
pub struct ReadFleet;

/// Submits an edit.
///
/// Idempotent: an edit whose id was already accepted returns its existing record, so retrying after a
/// lost reply is safe.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "SubmitEditResult")]
pub struct SubmitEdit(pub Edit);

/// Error of submitting an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum SubmitError {
    /// The edit is invalid or conflicts with another edit.
    #[display("{_0}")]
    Refused(EditError),
    /// Another error; its kind says whether the edit may have been written.
    #[display("{}", _0.message())]
    Failed(ErrorKind),
}

impl SubmitError {
    /// Error kind reported to operators.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused(e) => e.kind(),
            Self::Failed(kind) => *kind,
        }
    }
}
