use {
    super::{Family, Path},
    std::collections::BTreeSet,
};

/// A deleted node of a family.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedEntity {
    /// The path of the deleted node.
    pub path: Path,
    /// The family of the node.
    pub family: Family,
    /// The number of the node.
    pub number: u32,
    /// The name of the node in its family.
    pub name: Box<str>,
}

/// The entities that must be resolved again or removed after an edit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntityChanges {
    /// Paths of entities whose resolved values may have changed.
    pub paths: BTreeSet<Path>,
    /// Deleted entities.
    pub removed: Vec<RemovedEntity>,
}
