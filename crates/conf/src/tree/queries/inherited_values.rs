use crate::tree::{EditError, Node, Path, Setting, SettingScope, Tree, Value};

/// Cache of the values that the children of one level inherit.
#[derive(Debug)]
pub(in crate::tree) struct InheritedValues<'t> {
    tree: &'t Tree,
    cached_level: Option<Path>,
    values: [Option<&'t Value>; Setting::ALL.len()],
}

impl<'t> InheritedValues<'t> {
    /// Creates an empty cache.
    pub(in crate::tree) const fn new(tree: &'t Tree) -> Self {
        Self {
            tree,
            cached_level: None,
            values: [None; Setting::ALL.len()],
        }
    }

    /// The value of `setting` on a node: its own, the nearest inherited one, or the default.
    pub(in crate::tree) fn value(
        &mut self,
        path: &Path,
        node: &'t Node,
        setting: Setting,
    ) -> Option<&'t Value> {
        let spec = setting.spec();
        if let Some(own) = node.settings.get(setting) {
            return Some(own);
        }
        let inherited = match spec.scope {
            SettingScope::Inherited => self.inherited(path, setting),
            SettingScope::NodeOnly | SettingScope::Fixed => None,
        };
        inherited.or(spec.default.as_ref())
    }

    /// Like [`Self::value`], but a missing value is an error.
    pub(in crate::tree) fn required(
        &mut self,
        path: &Path,
        node: &'t Node,
        setting: Setting,
    ) -> Result<&'t Value, EditError> {
        self.value(path, node, setting)
            .ok_or_else(|| EditError::MissingSetting {
                path: path.clone(),
                setting,
            })
    }

    fn inherited(
        &mut self,
        path: &Path,
        setting: Setting,
    ) -> Option<&'t Value> {
        let parent = path.parent()?;
        if self.cached_level.as_ref() != Some(&parent) {
            self.load_level(parent);
        }
        self.values[setting as usize]
    }

    /// Collects the values from `level` up to the root; the nearest level wins.
    fn load_level(
        &mut self,
        level: Path,
    ) {
        self.values = [None; Setting::ALL.len()];
        let mut next = Some(level.clone());
        while let Some(path) = next {
            let rows = self.tree.node(&path).map(|node| node.settings.iter());
            for (setting, value) in rows.into_iter().flatten() {
                self.values[setting as usize].get_or_insert(value);
            }
            next = path.parent();
        }
        self.cached_level = Some(level);
    }
}
