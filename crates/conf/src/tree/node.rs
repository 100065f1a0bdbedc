use {
    super::{NodeKind, Settings},
    serde::{Deserialize, Serialize},
};

/// One node of the tree, without its path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// What it stands for.
    pub kind: NodeKind,
    /// Its number in its family, given out at creation and never used again; 0 where it has none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub number: u32,
    /// The highest version number that an adapter has ever had.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub last_version: u32,
    /// What is set on this very node.
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
    /// A node with nothing set.
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
