use {
    crate::{clock::Millis, ids::PartId},
    std::{cmp::Reverse, collections::HashMap},
};

/// Parts per generation; between one and two generations are kept.
const GENERATION_LEN: usize = 20_000;

/// The latest parts and their latest times, in bounded memory.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentParts {
    current: HashMap<PartId, Millis>,
    previous: HashMap<PartId, Millis>,
    /// How many adapters, and how many parts of prompts, are in each of the two.
    current_adapters: usize,
    previous_adapters: usize,
    current_parts: usize,
    previous_parts: usize,
}

impl RecentParts {
    pub(super) fn insert(
        &mut self,
        part: PartId,
        at: Millis,
    ) {
        let at = self.latest(part).map_or(at, |known| known.max(at));
        if self.current.len() >= GENERATION_LEN {
            self.previous = std::mem::take(&mut self.current);
            self.previous_adapters = std::mem::take(&mut self.current_adapters);
            self.previous_parts = std::mem::take(&mut self.current_parts);
        }
        let is_new = self.current.insert(part, at).is_none();
        let is_part = !part.is_adapter() && !part.is_request();
        self.current_adapters += usize::from(is_new && part.is_adapter());
        self.current_parts += usize::from(is_new && is_part);
    }

    /// How many adapters there are at least.
    pub(super) fn adapters(&self) -> usize {
        self.current_adapters.max(self.previous_adapters)
    }

    /// How many parts of prompts there are at least.
    pub(super) fn parts(&self) -> usize {
        self.current_parts.max(self.previous_parts)
    }

    pub(super) fn contains(
        &self,
        part: PartId,
    ) -> bool {
        self.latest(part).is_some()
    }

    /// The `count` parts with the latest times.
    pub(super) fn newest(
        &self,
        count: usize,
    ) -> Vec<(PartId, Millis)> {
        let older = self.previous.iter();
        let older = older.filter(|(part, _)| !self.current.contains_key(part));
        let all = self.current.iter().chain(older);
        let mut parts: Vec<(PartId, Millis)> = all.map(|(&part, &at)| (part, at)).collect();
        let count = count.min(parts.len());
        if count < parts.len() {
            parts.select_nth_unstable_by_key(count, |&(part, at)| (Reverse(at), part));
        }
        parts.truncate(count);
        parts
    }

    pub(super) fn latest(
        &self,
        part: PartId,
    ) -> Option<Millis> {
        let known = self.current.get(&part);
        known.or_else(|| self.previous.get(&part)).copied()
    }
}
