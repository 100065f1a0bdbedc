use {
    super::{Setting, Value},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The settings of one node, in the order of [`Setting`].
///
/// Stored as a sorted vector, which takes less memory than a map for the few settings of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "BTreeMap<Setting, Value>", into = "BTreeMap<Setting, Value>")]
pub struct Settings(Vec<(Setting, Value)>);

impl Settings {
    /// Creates an empty set of settings.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// The value of `setting` on this node.
    pub fn get(
        &self,
        setting: Setting,
    ) -> Option<&Value> {
        self.0
            .binary_search_by_key(&setting, |row| row.0)
            .ok()
            .map(|i| &self.0[i].1)
    }

    /// All settings with their values.
    pub fn iter(&self) -> impl Iterator<Item = (Setting, &Value)> {
        self.0.iter().map(|(setting, value)| (*setting, value))
    }

    /// Whether no setting is set.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Sets `setting` to `value`.
    pub fn set(
        &mut self,
        setting: Setting,
        value: Value,
    ) {
        match self.0.binary_search_by_key(&setting, |row| row.0) {
            Ok(i) => self.0[i].1 = value,
            Err(i) => {
                self.0.reserve_exact(1);
                self.0.insert(i, (setting, value));
            }
        }
    }

    /// Removes `setting`; returns whether it was set.
    pub fn unset(
        &mut self,
        setting: Setting,
    ) -> bool {
        match self.0.binary_search_by_key(&setting, |row| row.0) {
            Ok(i) => {
                self.0.remove(i);
                true
            }
            Err(_) => false,
        }
    }
}

impl From<BTreeMap<Setting, Value>> for Settings {
    fn from(rows: BTreeMap<Setting, Value>) -> Self {
        Self(rows.into_iter().collect())
    }
}

impl From<Settings> for BTreeMap<Setting, Value> {
    fn from(settings: Settings) -> Self {
        settings.0.into_iter().collect()
    }
}
