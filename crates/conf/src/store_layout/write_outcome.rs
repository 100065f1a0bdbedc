use {
    super::LayoutError,
    crate::tree::{AcceptedEdit, EditId},
};

/// The outcome of an edit whose reply was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The edit was stored.
    AcceptedEdit,
    /// Another edit made the revision, so this transaction can no longer succeed.
    Superseded(Box<AcceptedEdit>),
    /// No edit has made the revision yet; the same transaction may be sent again.
    Pending,
}

/// Determines the outcome of edit `id` from the record of the revision that it should have made.
///
/// # Errors
///
/// [`LayoutError::Malformed`] if the record cannot be parsed.
pub fn write_outcome(
    id: &EditId,
    record: Option<&str>,
) -> Result<WriteOutcome, LayoutError> {
    let Some(text) = record else {
        return Ok(WriteOutcome::Pending);
    };
    let accepted: AcceptedEdit = serde_json::from_str(text)
        .map_err(|source| LayoutError::malformed(super::EDIT_PREFIX, source))?;
    if accepted.edit.id == *id {
        return Ok(WriteOutcome::AcceptedEdit);
    }
    Ok(WriteOutcome::Superseded(Box::new(accepted)))
}
