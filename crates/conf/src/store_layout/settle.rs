use {
    super::LayoutError,
    crate::tree::{Accepted, EditId},
};

/// The outcome of an edit whose reply was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The edit was stored.
    Accepted,
    /// Another edit made the revision, so this transaction can no longer succeed.
    Overtaken(Box<Accepted>),
    /// No edit has made the revision yet; the same transaction may be sent again.
    Open,
}

/// Determines the outcome of edit `id` from the record of the revision that it should have made.
///
/// # Errors
///
/// [`LayoutError::Malformed`] if the record cannot be parsed.
pub fn settle(
    id: &EditId,
    record: Option<&str>,
) -> Result<Settled, LayoutError> {
    let Some(text) = record else {
        return Ok(Settled::Open);
    };
    let accepted: Accepted = serde_json::from_str(text)
        .map_err(|source| LayoutError::malformed(super::EDIT_PREFIX, source))?;
    if accepted.edit.id == *id {
        return Ok(Settled::Accepted);
    }
    Ok(Settled::Overtaken(Box::new(accepted)))
}
