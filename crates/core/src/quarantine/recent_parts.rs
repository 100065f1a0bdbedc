use {crate::ids::PartId, std::collections::HashSet};

/// Parts per generation; between one and two generations are kept.
const GENERATION_LEN: usize = 20_000;

/// The latest parts, in bounded memory.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentParts {
    current: HashSet<PartId>,
    previous: HashSet<PartId>,
}

impl RecentParts {
    pub(super) fn insert(
        &mut self,
        part: PartId,
    ) {
        if self.current.len() >= GENERATION_LEN {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part);
    }

    pub(super) fn contains(
        &self,
        part: PartId,
    ) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }
}
