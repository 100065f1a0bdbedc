use {
    super::check,
    crate::tree::{Accepted, Conflict, Edit, EditError, EditLog, EditOp, Touched, Tree},
};

/// Bytes that an edit may have as JSON, so that its record, one shard and the head fit one write.
pub const MAX_EDIT_BYTES: usize = 600_000;
/// Bytes of an author's name.
const MAX_AUTHOR: usize = 64;

/// What an edit would make of the tree, before it is written.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The edit with its revision and the numbers it gives out.
    pub accepted: Accepted,
    /// The tree that it makes.
    pub tree: Tree,
    /// What is to be resolved anew.
    pub touched: Touched,
}

impl Tree {
    /// Checks an edit as a whole against this tree, the newest known, and carries it out on a copy.
    ///
    /// Where the edit is based on an older revision it goes on top of what others did since, unless
    /// they changed what it touches. The caller has made sure that `log` does not hold the edit itself.
    ///
    /// # Errors
    ///
    /// Any [`EditError`]; this tree is untouched.
    pub fn propose(
        &self,
        edit: &Edit,
        log: &EditLog,
        at_unix_ms: u64,
    ) -> Result<Proposal, EditError> {
        check_form(edit)?;
        check_conflicts(edit, log, self)?;
        let mut tree = self.clone();
        let mut touched = Touched::default();
        let mut numbers = Vec::new();
        for op in &edit.ops {
            check::op(&tree, op)?;
            let number = check::number(&tree, op)?;
            numbers.extend(matches!(op, EditOp::Create { .. }).then_some(number));
            tree.carry_out(op, number, &mut touched);
        }
        tree.touch_renumbered(&mut touched);
        check::whole(&tree, &edit.ops, &touched)?;
        tree.revision = self.revision.next();
        Ok(Proposal {
            accepted: Accepted {
                revision: tree.revision,
                at_unix_ms,
                numbers,
                edit: edit.clone(),
            },
            tree,
            touched,
        })
    }
}

fn check_form(edit: &Edit) -> Result<(), EditError> {
    let author = &edit.author;
    if author.is_empty() || author.len() > MAX_AUTHOR || author.chars().any(char::is_control) {
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
