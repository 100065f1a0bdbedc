use {
    super::{AcceptedEdit, Edit, EditError, EditId, Path},
    jasmine_core::ids::Revision,
    std::{collections::VecDeque, sync::Arc},
};

/// The most edits that an [`EditLog`] keeps; the oldest are dropped when there are more.
pub const MAX_LOG_EDITS: usize = 1_024;

/// The maximum number of ops in an [`EditLog`], which bounds its memory when edits are large.
pub const MAX_LOG_OPS: usize = 20_000;

/// The newest accepted edits, without gaps.
///
/// Used to update other daemons, to detect conflicts, and to detect retries of edits that were
/// already accepted: an edit based on revision b can only have been accepted after b.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditLog {
    base: Revision,
    edits: VecDeque<Arc<AcceptedEdit>>,
    ops: usize,
}

impl EditLog {
    /// Creates an empty log that continues from `base`.
    pub const fn new(base: Revision) -> Self {
        Self {
            base,
            edits: VecDeque::new(),
            ops: 0,
        }
    }

    /// The revision before the first edit of the log, the oldest that an edit may be based on.
    pub const fn oldest_base(&self) -> Revision {
        self.base
    }

    /// The revision of the newest edit, or the base of an empty log.
    pub fn newest(&self) -> Revision {
        self.edits.back().map_or(self.base, |edit| edit.revision)
    }

    /// Appends the next edit; returns false if it does not follow the newest revision.
    pub fn push(
        &mut self,
        accepted: Arc<AcceptedEdit>,
    ) -> bool {
        if accepted.revision != self.newest().next() {
            return false;
        }
        self.ops += accepted.edit.ops.len();
        self.edits.push_back(accepted);
        while self.exceeds_limits() {
            self.drop_oldest();
        }
        true
    }

    /// Whether the oldest edit must be dropped; the newest is always kept.
    fn exceeds_limits(&self) -> bool {
        self.edits.len() > MAX_LOG_EDITS || (self.edits.len() > 1 && self.ops > MAX_LOG_OPS)
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.edits.pop_front() {
            self.base = oldest.revision;
            self.ops -= oldest.edit.ops.len();
        }
    }

    /// The edits after `base`, oldest first; `None` if the log starts later.
    pub fn since(
        &self,
        base: Revision,
    ) -> Option<impl Iterator<Item = &AcceptedEdit>> {
        let skipped = base.0.checked_sub(self.base.0)?;
        let skipped = (skipped as usize).min(self.edits.len());
        Some(self.edits.range(skipped..).map(Arc::as_ref))
    }

    /// Finds the accepted edit with this id.
    pub fn find(
        &self,
        id: &EditId,
    ) -> Option<&AcceptedEdit> {
        self.newest_first().find(|accepted| accepted.edit.id == *id)
    }

    /// Finds the record of an edit that was already accepted; `None` if it is not in this log.
    ///
    /// # Errors
    ///
    /// [`EditError::IdTaken`] if an accepted edit has the same id but different ops.
    pub fn find_duplicate(
        &self,
        edit: &Edit,
    ) -> Result<Option<&AcceptedEdit>, EditError> {
        match self.find(&edit.id) {
            Some(accepted) if accepted.edit.ops != edit.ops => Err(EditError::IdTaken {
                id: edit.id.clone(),
                revision: accepted.revision,
            }),
            found => Ok(found),
        }
    }

    /// All edits, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedEdit> {
        self.edits.iter().rev().map(Arc::as_ref)
    }

    /// The edits that changed `path`, a node below it or a node above it, newest first.
    pub fn history_of(
        &self,
        path: &Path,
    ) -> impl Iterator<Item = &AcceptedEdit> {
        self.newest_first().filter(move |accepted| {
            let about = |changed: &Path| changed.is_within(path) || path.is_within(changed);
            accepted.edit.ops.iter().any(|op| about(op.path()))
        })
    }
}
