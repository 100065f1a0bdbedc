use {
    super::{Setting, Value},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The settings of one node, in the order of [`Setting`].
///
/// A sorted vector: most nodes hold one to four, and there are many nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "BTreeMap<Setting, Value>", into = "BTreeMap<Setting, Value>")]
pub struct Settings(Vec<(Setting, Value)>);

impl Settings {
    /// Nothing is set.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// What `setting` is set to here.
    pub fn get(
        &self,
        setting: Setting,
    ) -> Option<&Value> {
        self.0
            .binary_search_by_key(&setting, |row| row.0)
            .ok()
            .map(|i| &self.0[i].1)
    }

    /// Everything set here.
    pub fn iter(&self) -> impl Iterator<Item = (Setting, &Value)> {
        self.0.iter().map(|(setting, value)| (*setting, value))
    }

    /// Whether nothing is set here.
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

    /// Takes `setting` away, so that it is inherited again; whether it was there.
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
