use {
    crate::tree::{EditError, Path, Setting, SettingScope, Tree, Value},
    serde::{Deserialize, Serialize},
};

/// The value of a setting on one level.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Level {
    /// The path of the level.
    pub path: Path,
    /// The value set on this level, if any.
    pub value: Option<Value>,
}

/// The effective value of a setting and its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// The queried node.
    pub path: Path,
    /// The queried setting.
    pub setting: Setting,
    /// The effective value; `None` if it is unset and has no default.
    pub value: Option<Value>,
    /// The level that sets the value; `None` for the default.
    pub from: Option<Path>,
    /// The default value, if any.
    pub default: Option<Value>,
    /// The levels that can set the value, from the node up to the root.
    pub levels: Vec<Level>,
}

impl Tree {
    /// Finds the level that the value of `setting` at `path` comes from.
    ///
    /// # Errors
    ///
    /// [`EditError::NoSuchNode`] or [`EditError::SettingNotAllowed`] if the node does not exist or
    /// does not have the setting.
    pub fn explain(
        &self,
        path: &Path,
        setting: Setting,
    ) -> Result<Explanation, EditError> {
        let node = self
            .node(path)
            .ok_or_else(|| EditError::NoSuchNode { path: path.clone() })?;
        if !setting.is_allowed_on(node.kind, path.collection()) {
            return Err(EditError::SettingNotAllowed {
                path: path.clone(),
                kind: node.kind,
                setting,
            });
        }
        let spec = setting.spec();
        let levels = self.levels(path, spec.scope, setting);
        let found = levels.iter().find(|level| level.value.is_some());
        Ok(Explanation {
            path: path.clone(),
            setting,
            value: found
                .and_then(|level| level.value.clone())
                .or_else(|| spec.default.clone()),
            from: found.map(|level| level.path.clone()),
            default: spec.default.clone(),
            levels,
        })
    }

    fn levels(
        &self,
        path: &Path,
        scope: SettingScope,
        setting: Setting,
    ) -> Vec<Level> {
        let above = |path: &Path| match scope {
            SettingScope::Inherited => path.parent(),
            SettingScope::NodeOnly | SettingScope::Fixed => None,
        };
        std::iter::successors(Some(path.clone()), above)
            .filter_map(|path| {
                let node = self.node(&path)?;
                let value = node.settings.get(setting).cloned();
                Some(Level { path, value })
            })
            .collect()
    }
}
