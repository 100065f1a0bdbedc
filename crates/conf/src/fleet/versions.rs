use {
    super::Version,
    std::{collections::BTreeMap, ops::Index},
};

/// The versions of an adapter by number.
///
/// Stored as a sorted vector, which takes less memory than a map for the few versions of an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions(Vec<(u32, Version)>);

impl Versions {
    /// Finds the version with this number.
    pub fn get(
        &self,
        number: &u32,
    ) -> Option<&Version> {
        self.0
            .binary_search_by_key(number, |row| row.0)
            .ok()
            .map(|i| &self.0[i].1)
    }

    /// Whether a version with this number exists.
    pub fn contains_key(
        &self,
        number: &u32,
    ) -> bool {
        self.get(number).is_some()
    }

    /// The version numbers in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = &u32> {
        self.0.iter().map(|row| &row.0)
    }

    /// Inserts a version, replacing one with the same number.
    pub fn insert(
        &mut self,
        number: u32,
        version: Version,
    ) {
        match self.0.binary_search_by_key(&number, |row| row.0) {
            Ok(i) => self.0[i].1 = version,
            Err(i) => self.0.insert(i, (number, version)),
        }
    }
}

impl FromIterator<(u32, Version)> for Versions {
    fn from_iter<I>(rows: I) -> Self
    where
        I: IntoIterator<Item = (u32, Version)>,
    {
        let mut versions = Self::default();
        for (number, version) in rows {
            versions.insert(number, version);
        }
        versions.0.shrink_to_fit();
        versions
    }
}

impl<const N: usize> From<[(u32, Version); N]> for Versions {
    fn from(rows: [(u32, Version); N]) -> Self {
        rows.into_iter().collect()
    }
}

impl From<BTreeMap<u32, Version>> for Versions {
    fn from(rows: BTreeMap<u32, Version>) -> Self {
        rows.into_iter().collect()
    }
}

impl Index<&u32> for Versions {
    type Output = Version;

    /// The version with this number.
    ///
    /// # Panics
    ///
    /// Panics if there is no such version.
    fn index(
        &self,
        number: &u32,
    ) -> &Version {
        self.get(number).expect("a version with this number exists")
    }
}
