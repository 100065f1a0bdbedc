use {
    actix::prelude::{Message, Recipient},
    jasmine_conf::{
        api::FleetStatus,
        tree::{AcceptedEdit, Edit, EditError, EditLog, Tree},
    },
    jasmine_core::error::ErrorKind,
};

/// What the operators' HTTP asks of the rest of the controller.
///
/// The three recipients are usually one actor; they may be reached from any thread.
#[derive(Clone, Debug)]
pub struct OperatorsLink {
    /// Who has the tree in force.
    pub read: Recipient<ReadTree>,
    /// Who writes edits to the store.
    pub submit: Recipient<SubmitEdit>,
    /// Who knows the fleet.
    pub fleet: Recipient<ReadFleet>,
}

/// The tree in force and the newest edits; both are cheap copies.
#[derive(Clone, Debug)]
pub struct TreeView {
    /// The tree.
    pub tree: Tree,
    /// The newest edits.
    pub log: EditLog,
}

/// Answer to [`ReadTree`]; an error while no configuration is in force.
pub type TreeAnswer = Result<TreeView, ErrorKind>;
/// Answer to [`SubmitEdit`].
pub type SubmitAnswer = Result<AcceptedEdit, SubmitError>;
/// Answer to [`ReadFleet`].
pub type FleetAnswer = Result<FleetStatus, ErrorKind>;

/// Asks for the tree in force.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "TreeAnswer")]
pub struct ReadTree;

/// Asks for the state of all VMs.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "FleetAnswer")]
pub struct ReadFleet;

/// Asks for an edit to be accepted.
///
/// An edit whose id is accepted already is answered with its record, so that sending it again after
/// a lost answer does nothing twice.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "SubmitAnswer")]
pub struct SubmitEdit(pub Edit);

/// Why an edit is not known to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum SubmitError {
    /// It does not fit the tree, or runs into somebody else's.
    #[display("{_0}")]
    Refused(EditError),
    /// Another cause; the kind says whether anything may have been written.
    #[display("{}", _0.message())]
    Failed(ErrorKind),
}

impl SubmitError {
    /// The kind in the closed list.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused(e) => e.kind(),
            Self::Failed(kind) => *kind,
        }
    }
}
