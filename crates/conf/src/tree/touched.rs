use {
    super::{Family, Path},
    std::collections::BTreeSet,
};

/// Something that a revision no longer has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removed {
    /// Where it stood.
    pub path: Path,
    /// Its family.
    pub family: Family,
    /// Its number.
    pub number: u32,
    /// Its name in the family.
    pub name: Box<str>,
}

/// What an edit leaves to be resolved anew.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Touched {
    /// Accounts, keys, adapters, models, upstreams, services and data centres whose values may differ.
    pub paths: BTreeSet<Path>,
    /// What is gone.
    pub removed: Vec<Removed>,
}
