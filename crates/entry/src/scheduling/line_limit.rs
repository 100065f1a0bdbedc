use jasmine_core::clock::Millis;

/// Bounds the log lines of one kind: beyond so many in a second, lines are only counted.
#[derive(Debug)]
pub(super) struct LineLimit {
    max_per_s: u32,
    second: u64,
    lines: u32,
    unlogged: u64,
}

impl LineLimit {
    pub(super) const fn new(max_per_s: u32) -> Self {
        Self {
            max_per_s,
            second: 0,
            lines: 0,
            unlogged: 0,
        }
    }

    /// Whether a line may be written; returns how many were not since the last one.
    pub(super) fn admit(
        &mut self,
        now: Millis,
    ) -> Option<u64> {
        let second = now.0 / 1_000;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= self.max_per_s {
            self.unlogged += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.unlogged))
    }
}
