use {
    super::check,
    crate::tree::{AcceptedEdit, Conflict, Edit, EditError, EditLog, EditOp, EntityChanges, Tree},
};

/// The maximum size of an edit as JSON, so that its record, one shard and the head fit into one write.
pub const MAX_EDIT_BYTES: usize = 600_000;
/// The maximum length of an author's name, in bytes.
const MAX_AUTHOR_BYTES: usize = 64;

/// A validated edit with the resulting tree, before it is stored.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The edit with its revision and the assigned numbers.
    pub accepted: AcceptedEdit,
    /// The resulting tree.
    pub tree: Tree,
    /// The entities to resolve again or remove.
    pub changes: EntityChanges,
}

impl Tree {
    /// Validates an edit against this tree, the newest known, and applies it to a copy.
    ///
    /// An edit based on an older revision is applied on top of later edits unless they conflict with
    /// it. The caller must ensure that `log` does not contain the edit itself.
    ///
    /// # Errors
    ///
    /// [`EditError`] if the edit is invalid or conflicts with a later one.
    pub fn propose(
        &self,
        edit: &Edit,
        log: &EditLog,
        at_unix_ms: u64,
    ) -> Result<Proposal, EditError> {
        check_form(edit)?;
        check_conflicts(edit, log, self)?;
        let mut tree = self.clone();
        let mut changes = EntityChanges::default();
        let mut numbers = Vec::new();
        for op in &edit.ops {
            check::op(&tree, op)?;
            let number = check::number(&tree, op)?;
            numbers.extend(matches!(op, EditOp::Create { .. }).then_some(number));
            tree.apply_op(op, number, &mut changes);
        }
        tree.mark_renumbered(&mut changes);
        check::check_consistency(&tree, &edit.ops, &changes)?;
        tree.revision = self.revision.next();
        Ok(Proposal {
            accepted: AcceptedEdit {
                revision: tree.revision,
                at_unix_ms,
                numbers,
                edit: edit.clone(),
            },
            tree,
            changes,
        })
    }
}

fn check_form(edit: &Edit) -> Result<(), EditError> {
    let author = &edit.author;
    if author.is_empty() || author.len() > MAX_AUTHOR_BYTES || author.chars().any(char::is_control)
    {
        return Err(EditError::BadAuthor);
    }
    if edit.ops.is_empty() {
        return Err(EditError::Empty);
    }
    let bytes = serde_json::to_vec(edit).map_or(usize::MAX, |json| json.len());
    if bytes > MAX_EDIT_BYTES {
        return Err(EditError::TooLarge {
            bytes,
            allowed: MAX_EDIT_BYTES,
        });
    }
    Ok(())
}

fn check_conflicts(
    edit: &Edit,
    log: &EditLog,
    tree: &Tree,
) -> Result<(), EditError> {
    let base = edit.base;
    if base == tree.revision() {
        return Ok(());
    }
    if base > tree.revision() {
        return Err(EditError::BaseTooNew {
            base,
            newest: tree.revision(),
        });
    }
    let since = log.since(base).ok_or_else(|| EditError::BaseTooOld {
        base,
        oldest: log.oldest_base(),
    })?;
    let conflicts = Conflict::between(&edit.ops, since);
    if conflicts.is_empty() {
        return Ok(());
    }
    Err(EditError::Conflicts { base, conflicts })
}
