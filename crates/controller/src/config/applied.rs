/// What became of an edit or a tree that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    Yes,
    /// It is not newer than what is in force.
    Old,
    /// Something before it is missing.
    Gap,
}
