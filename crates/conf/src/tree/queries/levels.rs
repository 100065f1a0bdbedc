use crate::tree::{EditError, Node, Path, Setting, Standing, Tree, Value};

/// Values as they reach the nodes below one level, worked out once for all that stand there.
#[derive(Debug)]
pub(in crate::tree) struct Levels<'t> {
    tree: &'t Tree,
    at: Option<Path>,
    values: [Option<&'t Value>; Setting::ALL.len()],
}

impl<'t> Levels<'t> {
    /// Nothing worked out yet.
    pub(in crate::tree) const fn new(tree: &'t Tree) -> Self {
        Self {
            tree,
            at: None,
            values: [None; Setting::ALL.len()],
        }
    }

    /// The value of `setting` at a node: its own, the nearest level's, or the default.
    pub(in crate::tree) fn value(
        &mut self,
        path: &Path,
        node: &'t Node,
        setting: Setting,
    ) -> Option<&'t Value> {
        let rule = setting.rule();
        if let Some(own) = node.settings.get(setting) {
            return Some(own);
        }
        let inherited = match rule.standing {
            Standing::Inherited => self.inherited(path, setting),
            Standing::Own | Standing::Fixed => None,
        };
        inherited.or(rule.default.as_ref())
    }

    /// As [`Self::value`], for a value that the node can't be without.
    pub(in crate::tree) fn needed(
        &mut self,
        path: &Path,
        node: &'t Node,
        setting: Setting,
    ) -> Result<&'t Value, EditError> {
        self.value(path, node, setting)
            .ok_or_else(|| EditError::Missing {
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
        if self.at.as_ref() != Some(&parent) {
            self.gather(parent);
        }
        self.values[setting as usize]
    }

    /// Walks from `level` to the root; the nearest level wins.
    fn gather(
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
        self.at = Some(level);
    }
}
