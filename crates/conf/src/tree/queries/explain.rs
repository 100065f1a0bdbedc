use {
    crate::tree::{EditError, Path, Setting, Standing, Tree, Value},
    serde::{Deserialize, Serialize},
};

/// What one level says about a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Level {
    /// The level.
    pub path: Path,
    /// What is set there, if anything.
    pub value: Option<Value>,
}

/// Where the value of a setting comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// The node asked about.
    pub path: Path,
    /// The setting asked about.
    pub setting: Setting,
    /// The value in force; none where it is unset and has no default.
    pub value: Option<Value>,
    /// The level that gives it; none where it is the default.
    pub from: Option<Path>,
    /// The default, where there is one.
    pub default: Option<Value>,
    /// Every level that could give it, from the node up to the root.
    pub levels: Vec<Level>,
}

impl Tree {
    /// Tells which level the value of `setting` at `path` comes from.
    ///
    /// # Errors
    ///
    /// [`EditError::NoSuchNode`] or [`EditError::NotHere`] where the question makes no sense.
    pub fn explain(
        &self,
        path: &Path,
        setting: Setting,
    ) -> Result<Explanation, EditError> {
        let node = self
            .node(path)
            .ok_or_else(|| EditError::NoSuchNode { path: path.clone() })?;
        if !setting.may_stand_at(node.kind, path.collection()) {
            return Err(EditError::NotHere {
                path: path.clone(),
                kind: node.kind,
                setting,
            });
        }
        let rule = setting.rule();
        let levels = self.levels(path, rule.standing, setting);
        let found = levels.iter().find(|level| level.value.is_some());
        Ok(Explanation {
            path: path.clone(),
            setting,
            value: found
                .and_then(|level| level.value.clone())
                .or_else(|| rule.default.clone()),
            from: found.map(|level| level.path.clone()),
            default: rule.default.clone(),
            levels,
        })
    }

    fn levels(
        &self,
        path: &Path,
        standing: Standing,
        setting: Setting,
    ) -> Vec<Level> {
        let above = |path: &Path| match standing {
            Standing::Inherited => path.parent(),
            Standing::Own | Standing::Fixed => None,
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
