use super::{Part, PartKind};

/// The parts of a response that were delivered, used to drop parts that a resumption repeats.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    offset: u64,
    opened: bool,
    finished: bool,
    counted: bool,
}

impl Progress {
    /// Number of tokens delivered.
    pub(super) const fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether anything was delivered that a second run could contradict.
    pub(super) const fn has_content(&self) -> bool {
        self.offset > 0 || self.finished || self.counted
    }

    /// Whether anything was delivered.
    pub(super) const fn has_begun(&self) -> bool {
        self.opened || self.has_content()
    }

    /// Records a part; `false` if it was delivered before.
    pub(super) fn record(
        &mut self,
        part: Part,
    ) -> bool {
        match part.kind {
            PartKind::Opening => !std::mem::replace(&mut self.opened, true),
            PartKind::Finish => !std::mem::replace(&mut self.finished, true),
            PartKind::Usage => !std::mem::replace(&mut self.counted, true),
            PartKind::Tokens if part.offset <= self.offset => false,
            PartKind::Tokens => {
                self.offset = part.offset;
                true
            }
        }
    }
}
