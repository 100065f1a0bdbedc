use super::{Part, PartKind};

/// What has been passed on of an answer.
///
/// A resumption may repeat what came before the connection was lost. Passed on twice it would make the
/// answer longer than the one that the engine made.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    offset: u64,
    opened: bool,
    finished: bool,
    counted: bool,
}

impl Progress {
    /// Tokens passed on.
    pub(super) const fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether anything was passed on that a second run would contradict.
    pub(super) const fn has_content(&self) -> bool {
        self.offset > 0 || self.finished || self.counted
    }

    /// Whether anything was passed on at all.
    pub(super) const fn has_begun(&self) -> bool {
        self.opened || self.has_content()
    }

    /// Notes a part; false where it has been passed on before.
    pub(super) fn take(
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
