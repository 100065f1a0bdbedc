use {
    super::{NodeKind, Path, Setting, Settings, Value},
    serde::{Deserialize, Serialize},
};

/// One change of an [`super::Edit`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum EditOp {
    /// Creates a node.
    Create {
        /// The path of the node.
        path: Path,
        /// The kind of the node.
        kind: NodeKind,
        /// The initial settings of the node.
        #[serde(default, skip_serializing_if = "Settings::is_empty")]
        settings: Settings,
    },
    /// Sets the value of a setting on a node.
    Set {
        /// The path of the node.
        path: Path,
        /// The setting to change.
        setting: Setting,
        /// The new value.
        value: Value,
    },
    /// Removes a setting from a node, so that its inherited or default value applies.
    Unset {
        /// The path of the node.
        path: Path,
        /// The setting to change.
        setting: Setting,
    },
    /// Deletes a node and all nodes below it.
    Delete {
        /// The path of the node.
        path: Path,
    },
}

impl EditOp {
    /// The path of the changed node.
    pub const fn path(&self) -> &Path {
        match self {
            Self::Create { path, .. }
            | Self::Set { path, .. }
            | Self::Unset { path, .. }
            | Self::Delete { path } => path,
        }
    }

    /// The setting changed by `Set` or `Unset`.
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
