use {
    super::{Conflict, EditId, NodeKind, Path, Setting},
    jasmine_core::{error::ErrorKind, ids::Revision},
};

/// Why an edit is not accepted; nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum EditError {
    /// A text is no path.
    #[display(
        "{path:?} is no path: names of 1 to 64 of A-Za-z0-9._- after slashes, at most 8 levels"
    )]
    BadPath {
        /// The text.
        path: String,
    },
    /// A text is no name of an edit.
    #[display("an edit's id is 1 to 64 of A-Za-z0-9._-")]
    BadEditId,
    /// The author's name is empty, too long or holds control characters.
    #[display("an edit's author is a text of 1 to 64 bytes")]
    BadAuthor,
    /// The edit has no ops.
    #[display("the edit changes nothing")]
    Empty,
    /// The edit is over the size that one record of the store takes.
    #[display("the edit is {bytes} bytes; allowed are {allowed}: split it")]
    TooLarge {
        /// Its size as JSON.
        bytes: usize,
        /// The limit.
        allowed: usize,
    },
    /// No node stands at a path.
    #[display("{path}: nothing exists at this path")]
    NoSuchNode {
        /// The path.
        path: Path,
    },
    /// A node stands at the path already.
    #[display("{path}: exists already")]
    Exists {
        /// The path.
        path: Path,
    },
    /// The first levels of the tree can't be created or deleted.
    #[display("{path}: the first levels of the tree are given")]
    Given {
        /// The path.
        path: Path,
    },
    /// A node of this kind can't stand at this path.
    #[display("{path}: {kind} can't stand here: {allowed}")]
    WrongPlace {
        /// The path.
        path: Path,
        /// The kind.
        kind: NodeKind,
        /// Where it may stand.
        allowed: String,
    },
    /// The setting does not apply to this kind of node.
    #[display("{path}: {setting} is no setting of a node of kind {kind}")]
    NotHere {
        /// The path.
        path: Path,
        /// The kind of the node.
        kind: NodeKind,
        /// The setting.
        setting: Setting,
    },
    /// The setting is not set on this node, so there is nothing to take away.
    #[display("{path}: {setting} is not set on this level")]
    NotSet {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// The value is of the wrong type or out of range.
    #[display("{path}: {setting}={value} is not allowed: {allowed}")]
    BadValue {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The setting can't change any more.
    #[display("{path}: {setting} is given once and for all; make a new node instead")]
    Fixed {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// A value that the node needs is given on no level.
    #[display("{path}: {setting} is given neither here nor on a level above")]
    Missing {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
    },
    /// A value names something that doesn't exist.
    #[display("{path}: {setting} names {name:?}, which doesn't exist")]
    NoSuchName {
        /// The path.
        path: Path,
        /// The setting.
        setting: Setting,
        /// The name.
        name: String,
    },
    /// The node is named by a value elsewhere.
    #[display("{path}: still named by {setting} of {by}")]
    StillNamed {
        /// The path.
        path: Path,
        /// The setting that names it.
        setting: Setting,
        /// The node that holds the setting.
        by: Path,
    },
    /// Another node has this name already.
    #[display("{path}: its name or digest is that of {by}")]
    NameTaken {
        /// The path.
        path: Path,
        /// The other node.
        by: Path,
    },
    /// A version's number was used before or is no number.
    #[display("{path}: a version is named by a number from {least} to 4294967295")]
    BadVersion {
        /// The path.
        path: Path,
        /// The lowest number that is free.
        least: u32,
    },
    /// No number is left to be given out.
    #[display("{path}: no number is left for another {kind}")]
    NumbersUsedUp {
        /// The path.
        path: Path,
        /// The kind.
        kind: NodeKind,
    },
    /// Edits accepted since the base have changed what this one touches.
    #[display("others have changed the same since revision {base}: {} conflict(s)", conflicts.len())]
    Conflicts {
        /// The revision that the author had read.
        base: Revision,
        /// What changed.
        #[error(not(source))]
        conflicts: Vec<Conflict>,
    },
    /// An accepted edit of the same id did something else.
    #[display("edit id {id} was used for another edit, accepted as revision {revision}")]
    IdTaken {
        /// The id.
        id: EditId,
        /// The revision that the other edit made.
        revision: Revision,
    },
    /// The base is so old that what changed since can't be told.
    #[display("revision {base} is too old to compare with (oldest: {oldest}): read again")]
    BaseTooOld {
        /// The revision that the author had read.
        base: Revision,
        /// The oldest revision that an edit may be based on.
        oldest: Revision,
    },
    /// The base is a revision that doesn't exist yet.
    #[display("revision {base} doesn't exist yet (newest: {newest})")]
    BaseTooNew {
        /// The revision that the author claims to have read.
        base: Revision,
        /// The newest revision.
        newest: Revision,
    },
    /// An accepted edit does not follow the tree's revision.
    #[display("the edit of revision {found} can't be applied after revision {have}")]
    OutOfOrder {
        /// The revision of the tree.
        have: Revision,
        /// The revision of the edit.
        found: Revision,
    },
}

impl EditError {
    /// The kind in the closed list that operators are answered with.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::BadPath { .. } | Self::BadEditId | Self::BadAuthor => ErrorKind::BadRequest,
            Self::TooLarge { .. } => ErrorKind::BodyTooLarge,
            Self::Conflicts { .. } | Self::BaseTooOld { .. } | Self::IdTaken { .. } => {
                ErrorKind::EditConflict
            }
            // Whoever named the revision has read it from a VM that is further on: this one lags.
            Self::BaseTooNew { .. } => ErrorKind::ConfigUnavailable,
            Self::OutOfOrder { .. } => ErrorKind::Internal,
            _ => ErrorKind::EditInvalid,
        }
    }

    /// What others changed, where that is the reason.
    pub fn conflicts(&self) -> &[Conflict] {
        match self {
            Self::Conflicts { conflicts, .. } => conflicts,
            _ => &[],
        }
    }
}
