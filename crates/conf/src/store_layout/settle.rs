use {
    super::LayoutError,
    crate::tree::{Accepted, EditId},
};

/// What became of an edit whose reply was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It is accepted: the lost reply was a yes.
    Accepted,
    /// Another edit made that revision: this one was not and will not be written as it stands.
    Overtaken(Box<Accepted>),
    /// Nothing made that revision yet; the same transaction may be sent again.
    Open,
}

/// Tells what became of the edit `id` that was to make a revision, from that revision's record.
///
/// # Errors
///
/// [`LayoutError::Malformed`] where the record can't be read.
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
