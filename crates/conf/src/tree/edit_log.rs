use {
    super::{Accepted, Edit, EditError, EditId, Path},
    jasmine_core::ids::Revision,
    std::{collections::VecDeque, sync::Arc},
};

/// Accepted edits that a daemon keeps at hand.
pub const LOG_EDITS: usize = 1_024;

/// Ops of all these edits together.
///
/// Without this bound a morning of bulk edits would be kept whole: 1,024 of 600 KB are gigabytes.
pub const LOG_OPS: usize = 20_000;

/// The newest accepted edits, without a gap.
///
/// They bring others up to date, tell what a racing edit runs into, and show that an edit sent again
/// has been accepted already: an edit based on revision b can only have been accepted after b.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditLog {
    base: Revision,
    edits: VecDeque<Arc<Accepted>>,
    ops: usize,
}

impl EditLog {
    /// A log that begins after `base`.
    pub const fn new(base: Revision) -> Self {
        Self {
            base,
            edits: VecDeque::new(),
            ops: 0,
        }
    }

    /// The revision after which it begins: the oldest that an edit may be based on.
    pub const fn oldest_base(&self) -> Revision {
        self.base
    }

    /// The newest revision that it knows.
    pub fn newest(&self) -> Revision {
        self.edits.back().map_or(self.base, |edit| edit.revision)
    }

    /// Adds the edit that follows; whether it did follow.
    pub fn push(
        &mut self,
        accepted: Arc<Accepted>,
    ) -> bool {
        if accepted.revision != self.newest().next() {
            return false;
        }
        self.ops += accepted.edit.ops.len();
        self.edits.push_back(accepted);
        while self.is_over_its_bounds() {
            self.drop_oldest();
        }
        true
    }

    /// Whether the oldest edit is to go; the newest one stays, however large it is.
    fn is_over_its_bounds(&self) -> bool {
        self.edits.len() > LOG_EDITS || (self.edits.len() > 1 && self.ops > LOG_OPS)
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.edits.pop_front() {
            self.base = oldest.revision;
            self.ops -= oldest.edit.ops.len();
        }
    }

    /// The edits after `base`, oldest first; `None` where the log begins later.
    pub fn since(
        &self,
        base: Revision,
    ) -> Option<impl Iterator<Item = &Accepted>> {
        let skipped = base.0.checked_sub(self.base.0)?;
        let skipped = (skipped as usize).min(self.edits.len());
        Some(self.edits.range(skipped..).map(Arc::as_ref))
    }

    /// The accepted edit of this name.
    pub fn find(
        &self,
        id: &EditId,
    ) -> Option<&Accepted> {
        self.newest_first().find(|accepted| accepted.edit.id == *id)
    }

    /// The record of an edit that is sent again; none: it is not accepted as far as this log goes.
    ///
    /// # Errors
    ///
    /// [`EditError::IdTaken`] where the id is that of an edit that did something else: whoever sent
    /// this one would take the other's record for its own.
    pub fn sent_before(
        &self,
        edit: &Edit,
    ) -> Result<Option<&Accepted>, EditError> {
        match self.find(&edit.id) {
            Some(accepted) if accepted.edit.ops != edit.ops => Err(EditError::IdTaken {
                id: edit.id.clone(),
                revision: accepted.revision,
            }),
            found => Ok(found),
        }
    }

    /// All edits, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &Accepted> {
        self.edits.iter().rev().map(Arc::as_ref)
    }

    /// The edits that changed `path`, something below it or a level above it, newest first.
    pub fn about(
        &self,
        path: &Path,
    ) -> impl Iterator<Item = &Accepted> {
        self.newest_first().filter(move |accepted| {
            let about = |changed: &Path| changed.is_within(path) || path.is_within(changed);
            accepted.edit.ops.iter().any(|op| about(op.path()))
        })
    }
}
