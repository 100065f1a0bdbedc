use {
    super::{CostKey, learned_mean::LearnedMean},
    std::collections::{BTreeMap, HashMap},
};

/// A bounded table of what was learned; the entry that was used least recently is evicted.
#[derive(Clone, Debug, Default)]
pub(super) struct CostTable {
    entries: HashMap<CostKey, (LearnedMean, u64)>,
    /// The entries in the order of their last use.
    by_use: BTreeMap<u64, CostKey>,
    uses: u64,
}

impl CostTable {
    /// Number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(
        &self,
        key: &CostKey,
    ) -> Option<&LearnedMean> {
        self.entries.get(key).map(|(learned, _)| learned)
    }

    /// The entry of a key, which becomes the one used last; of at most `max_len`.
    pub(super) fn entry(
        &mut self,
        key: CostKey,
        max_len: usize,
    ) -> &mut LearnedMean {
        if self.entries.len() >= max_len
            && !self.entries.contains_key(&key)
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.uses += 1;
        let (learned, used) = self.entries.entry(key).or_default();
        self.by_use.remove(used);
        *used = self.uses;
        self.by_use.insert(self.uses, key);
        learned
    }

    /// All entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&CostKey, &LearnedMean)> {
        let entries = self.entries.iter();
        entries.map(|(key, (learned, _))| (key, learned))
    }
}
