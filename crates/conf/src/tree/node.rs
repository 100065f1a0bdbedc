use {
    super::{NodeKind, Settings},
    serde::{Deserialize, Serialize},
};

/// One node of the tree, without its path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The kind of the node.
    pub kind: NodeKind,
    /// The number in its family, assigned at creation and never reused; 0 if the kind has no family.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub number: u32,
    /// The highest version number that an adapter has ever had; 0 for other kinds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub last_version: u32,
    /// The settings of this node, without inherited values.
    #[serde(default, skip_serializing_if = "Settings::is_empty")]
    pub settings: Settings,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde hands out a reference"
)]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Node {
    /// Creates a node without settings.
    pub const fn new(
        kind: NodeKind,
        number: u32,
    ) -> Self {
        Self {
            kind,
            number,
            last_version: 0,
            settings: Settings::new(),
        }
    }
}
