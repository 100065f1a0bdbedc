use {
    super::{Conflict, EditId, NodeKind, Path, Setting},
    jasmine_core::{error::ErrorKind, ids::Revision},
};

/// Why an edit is not accepted; a refused edit changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EditError {
    /// A text is not a valid path.
    #[display(
        "invalid path {path:?}: expected at most 8 levels with names of 1 to 64 characters of A-Za-z0-9._- after slashes"
    )]
    BadPath {
        /// The invalid text.
        path: String,
    },
    /// A text is not a valid edit id.
    #[display("invalid edit id: expected 1 to 64 characters of A-Za-z0-9._-")]
    BadEditId,
    /// The author's name is empty, too long or contains control characters.
    #[display("invalid author: expected 1 to 64 bytes without control characters")]
    BadAuthor,
    /// The edit has no ops.
    #[display("the edit has no ops")]
    Empty,
    /// The edit exceeds [`super::MAX_EDIT_BYTES`].
    #[display("the edit is {bytes} bytes, the limit is {allowed}: split it")]
    TooLarge {
        /// The size of the edit as JSON, in bytes.
        bytes: usize,
        /// The limit in bytes.
        allowed: usize,
    },
    /// No node exists at the path.
    #[display("{path}: no such node")]
    NoSuchNode {
        /// The path.
        path: Path,
    },
    /// A node already exists at the path.
    #[display("{path}: already exists")]
    Exists {
        /// The path.
        path: Path,
    },
    /// The built-in groups cannot be created or deleted.
    #[display("{path}: the top-level groups are built in")]
    BuiltInNode {
        /// The path.
        path: Path,
    },
    /// A node of this kind is not allowed at this path.
    #[display("{path}: a node of kind {kind} is not allowed here: {allowed}")]
    InvalidParent {
        /// The path.
        path: Path,
        /// The kind of the new node.
        kind: NodeKind,
        /// Where nodes of this kind are allowed.
        allowed: String,
    },
    /// The setting is not allowed on this kind of node.
    #[display("{path}: {setting} is no setting of a node of kind {kind}")]
    SettingNotAllowed {
        /// The path.
        path: Path,
        /// The kind of the node.
        kind: NodeKind,
        /// The setting.
        setting: Setting,
    },
    /// The setting is not set on this node and cannot be removed.
    #[display("{path}: {setting} is not set on this level")]
    SettingNotSet {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// The value has the wrong type or is out of range.
    #[display("{path}: {setting}={value} is not allowed: {allowed}")]
    BadValue {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
        /// The value.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// The setting cannot be changed after it was set.
    #[display("{path}: {setting} is given once and for all; make a new node instead")]
    Immutable {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// A required setting is not set on the node or a level above it.
    #[display("{path}: {setting} is set neither here nor on a level above")]
    MissingSetting {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// A value refers to a node that does not exist.
    #[display("{path}: {setting} names {name:?}, which doesn't exist")]
    ReferenceNotFound {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
        /// The missing name.
        name: String,
    },
    /// A value of another node still refers to the deleted node.
    #[display("{path}: still named by {setting} of {by}")]
    StillReferenced {
        /// The path of the deleted node.
        path: Path,
        /// The setting that refers to it.
        setting: Setting,
        /// The path of the referring node.
        by: Path,
    },
    /// Another node already has this name or digest.
    #[display("{path}: its name or digest is that of {by}")]
    NameTaken {
        /// The path.
        path: Path,
        /// The path of the other node.
        by: Path,
    },
    /// The name of a version is not a number above all earlier ones.
    #[display("{path}: a version is named by a number from {min} to 4294967295")]
    BadVersion {
        /// The path.
        path: Path,
        /// The lowest allowed number.
        min: u32,
    },
    /// All numbers of a family have been assigned.
    #[display("{path}: all numbers for nodes of kind {kind} have been assigned")]
    NumbersExhausted {
        /// The path.
        path: Path,
        /// The kind of the node.
        kind: NodeKind,
    },
    /// Edits accepted since the base conflict with this one.
    #[display("others have changed the same since revision {base}: {} conflict(s)", conflicts.len())]
    Conflicts {
        /// The revision that the edit is based on.
        base: Revision,
        /// The conflicting ops.
        #[error(not(source))]
        conflicts: Vec<Conflict>,
    },
    /// An accepted edit with the same id has different ops.
    #[display("edit id {id} was used for another edit, accepted as revision {revision}")]
    IdTaken {
        /// The id of both edits.
        id: EditId,
        /// The revision that the accepted edit made.
        revision: Revision,
    },
    /// The base is older than the edit log, so conflicts cannot be detected.
    #[display("base revision {base} is too old (oldest: {oldest}): read the tree again")]
    BaseTooOld {
        /// The revision that the edit is based on.
        base: Revision,
        /// The oldest revision that an edit may be based on.
        oldest: Revision,
    },
    /// The base is newer than the newest known revision.
    #[display("revision {base} doesn't exist yet (newest: {newest})")]
    BaseTooNew {
        /// The revision that the edit claims to be based on.
        base: Revision,
        /// The newest revision.
        newest: Revision,
    },
    /// An accepted edit does not make the revision after that of the tree.
    #[display("cannot apply the edit of revision {found} to the tree of revision {have}")]
    OutOfOrder {
        /// The revision of the tree.
        have: Revision,
        /// The revision of the edit.
        found: Revision,
    },
}

impl EditError {
    /// The error kind of the HTTP response to the operator.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::BadPath { .. } | Self::BadEditId | Self::BadAuthor => ErrorKind::BadRequest,
            Self::TooLarge { .. } => ErrorKind::BodyTooLarge,
            Self::Conflicts { .. } | Self::BaseTooOld { .. } | Self::IdTaken { .. } => {
                ErrorKind::EditConflict
            }
            // The revision was read from another VM that is ahead of this one.
            Self::BaseTooNew { .. } => ErrorKind::ConfigUnavailable,
            Self::OutOfOrder { .. } => ErrorKind::Internal,
            _ => ErrorKind::EditInvalid,
        }
    }

    /// The conflicting ops; empty for all other errors.
    pub fn conflicts(&self) -> &[Conflict] {
        match self {
            Self::Conflicts { conflicts, .. } => conflicts,
            _ => &[],
        }
    }
}
