/// Result of applying a received edit or tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is now the current configuration.
    Applied,
    /// It is not newer than the current configuration.
    Stale,
    /// An earlier edit is missing, or the content is invalid.
    Gap,
}
