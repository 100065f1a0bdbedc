use {
    super::{NodeKind, Setting, Value},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// One node of the tree, without its path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// What it stands for.
    pub kind: NodeKind,
    /// Its number in its family, given out at creation and never used again; 0 where it has none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub number: u32,
    /// The highest version number that an adapter has ever had.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub last_version: u32,
    /// What is set on this very node.
    #[serde(default, skip_serializing_if = "Settings::is_empty")]
    pub settings: Settings,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde hands out a reference"
)]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

impl Node {
    /// A node with nothing set.
    pub const fn new(
        kind: NodeKind,
        number: u32,
    ) -> Self {
        Self {
            kind,
            number,
            last_version: 0,
            settings: Settings(Vec::new()),
        }
    }
}

/// The settings of one node, in the order of [`Setting`].
///
/// A sorted vector: most nodes hold one to four, and there are many nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<Setting, Value>", into = "BTreeMap<Setting, Value>")]
pub struct Settings(Vec<(Setting, Value)>);

impl Settings {
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
