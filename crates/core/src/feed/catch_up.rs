/// Events in an answer from which on it may have been cut off; half of what a page of the store holds.
const MIN_CUT_EVENTS: usize = 250;
/// Bytes of keys and values in an answer from which on it may have been cut off; half of what a page of the store holds.
const MIN_CUT_BYTES: usize = 384 << 10;
/// Answers in turn after which a reader that has them all, and still lags, reads the store's content in place of its changes.
const MAX_CUT_ANSWERS: u32 = 4;
/// Questions in turn without an answer, though the store answers others, after which it does the same.
const MAX_UNANSWERED: u32 = 2;

/// An answer of the store with the changes after a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The revision after which the next question continues.
    pub revision: u64,
    /// Number of changes.
    pub events: usize,
    /// Bytes of their keys and values.
    pub bytes: usize,
    /// The highest revision that the store had named when it was asked.
    pub known_revision: u64,
}

impl ChangeBatch {
    /// Whether the store may hold more changes than the answer: it bounds how much an answer holds.
    pub const fn may_be_cut_off(&self) -> bool {
        self.events >= MIN_CUT_EVENTS
            || self.bytes >= MIN_CUT_BYTES
            || self.revision < self.known_revision
    }
}

/// How a reader of the store goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadNext {
    /// It waits a while, so that changes come in batches.
    Pause,
    /// It asks for further changes at once.
    Changes,
    /// It reads the store's whole content, whose size is bounded, unlike that of the changes since a revision.
    Content,
}

/// Decides how a reader of the store keeps up with its changes.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    cut_answers: u32,
    unanswered: u32,
    has_lost_changes: bool,
}

impl CatchUp {
    /// What to read next after an answer with changes.
    pub fn answered(
        &mut self,
        batch: &ChangeBatch,
    ) -> ReadNext {
        self.unanswered = 0;
        self.cut_answers = if batch.may_be_cut_off() {
            self.cut_answers + 1
        } else {
            0
        };
        match self.cut_answers {
            0 if batch.events == 0 => ReadNext::Changes,
            0 => ReadNext::Pause,
            MAX_CUT_ANSWERS.. => {
                self.lose();
                ReadNext::Content
            }
            _ => ReadNext::Changes,
        }
    }

    /// Records that the store gave no changes; `answers_others` if it has answered another question just after.
    pub fn unanswered(
        &mut self,
        answers_others: bool,
    ) {
        self.unanswered = if answers_others {
            self.unanswered + 1
        } else {
            0
        };
        if self.unanswered >= MAX_UNANSWERED {
            self.lose();
        }
    }

    /// Records that the changes after this reader's revision are no longer to be had.
    pub const fn lose(&mut self) {
        self.has_lost_changes = true;
    }

    /// Whether the content has to be read, as changes are missing.
    pub const fn has_lost_changes(&self) -> bool {
        self.has_lost_changes
    }

    /// Records that all changes up to a revision are known again, from the content or from another VM.
    pub fn caught_up(&mut self) {
        *self = Self::default();
    }
}
