use {
    super::{EditId, NodeKind, Path, Setting, Settings, Value},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// One change of an [`Edit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum EditOp {
    /// Makes a node.
    Create {
        /// Where.
        path: Path,
        /// What it stands for.
        kind: NodeKind,
        /// What is set on it from the start.
        #[serde(default, skip_serializing_if = "Settings::is_empty")]
        settings: Settings,
    },
    /// Sets a setting of a node.
    Set {
        /// Where.
        path: Path,
        /// Which.
        setting: Setting,
        /// To what.
        value: Value,
    },
    /// Takes a setting of a node away, so that it is inherited again.
    Unset {
        /// Where.
        path: Path,
        /// Which.
        setting: Setting,
    },
    /// Removes a node and everything below it.
    Delete {
        /// Where.
        path: Path,
    },
}

impl EditOp {
    /// The node that the change is about.
    pub const fn path(&self) -> &Path {
        match self {
            Self::Create { path, .. }
            | Self::Set { path, .. }
            | Self::Unset { path, .. }
            | Self::Delete { path } => path,
        }
    }

    /// The setting that the change is about, where it is about one.
    pub const fn setting(&self) -> Option<Setting> {
        match self {
            Self::Set { setting, .. } | Self::Unset { setting, .. } => Some(*setting),
            Self::Create { .. } | Self::Delete { .. } => None,
        }
    }
}

impl std::fmt::Display for EditOp {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        match self {
            Self::Create { path, kind, .. } => write!(f, "create {kind} {path}"),
            Self::Set {
                path,
                setting,
                value,
            } => write!(f, "set {path} {setting}={value}"),
            Self::Unset { path, setting } => write!(f, "unset {path} {setting}"),
            Self::Delete { path } => write!(f, "delete {path}"),
        }
    }
}

/// A wished change of the tree: all of its ops or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Its name, chosen by whoever made it, so that sending it again does nothing twice.
    pub id: EditId,
    /// Who made it.
    pub author: String,
    /// The revision that its author had read.
    pub base: Revision,
    /// What changes, in this order.
    pub ops: Vec<EditOp>,
}

/// An edit that is in force from its revision on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// When it was accepted, in milliseconds since 1970, by the clock of the VM that took it.
    pub at_unix_ms: u64,
    /// The numbers given to the nodes that it creates, in the order of its ops.
    pub numbers: Vec<u32>,
    /// The edit.
    pub edit: Edit,
}
