use {
    super::{NodeKind, Path, Setting, Settings, Value},
    serde::{Deserialize, Serialize},
};

/// One change of an [`super::Edit`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
