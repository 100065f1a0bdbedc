use {
    crate::tree::{
        Accepted, EditError, EditOp, Family, Node, NodeKind, Path, Removed, Setting, Settings,
        Shape, Touched, Tree, tree_nodes::family_name,
    },
    std::collections::BTreeSet,
};

impl Tree {
    /// Carries out an accepted edit.
    ///
    /// Nothing is checked again: what is accepted has the same effect on every VM, whatever version
    /// of the checks a VM runs. Each op says what a node becomes, not by how much it changes, so
    /// carrying out edits once more on a tree that has some of them already, from any of them up to the
    /// newest, gives the newest tree. On an error the tree is as before.
    ///
    /// # Errors
    ///
    /// [`EditError::OutOfOrder`] where the edit does not make the revision that follows.
    pub fn apply(
        &mut self,
        accepted: &Accepted,
    ) -> Result<Touched, EditError> {
        if accepted.revision != self.revision.next() {
            return Err(EditError::OutOfOrder {
                have: self.revision,
                found: accepted.revision,
            });
        }
        let mut touched = Touched::default();
        let mut numbers = accepted.numbers.iter().copied();
        for op in &accepted.edit.ops {
            let number = match op {
                EditOp::Create { .. } => numbers.next().unwrap_or_default(),
                _ => 0,
            };
            self.carry_out(op, number, &mut touched);
        }
        self.touch_renumbered(&mut touched);
        self.revision = accepted.revision;
        Ok(touched)
    }

    /// Carries out one op; `number` is what a created node gets.
    pub(super) fn carry_out(
        &mut self,
        op: &EditOp,
        number: u32,
        touched: &mut Touched,
    ) {
        match op {
            EditOp::Create {
                path,
                kind,
                settings,
            } => {
                self.create(path, *kind, number, settings);
                if let (NodeKind::Version, Some(adapter)) = (kind, path.parent()) {
                    self.note_version(&adapter, path.name());
                }
                touched.paths.extend(entity(path, *kind));
            }
            EditOp::Set {
                path,
                setting,
                value,
            } => {
                if let Some(node) = self.nodes.get_mut(path) {
                    node.settings.set(*setting, value.clone());
                }
                self.touch(path, *setting, touched);
            }
            EditOp::Unset { path, setting } => {
                if let Some(node) = self.nodes.get_mut(path) {
                    node.settings.unset(*setting);
                }
                self.touch(path, *setting, touched);
            }
            EditOp::Delete { path } => self.delete(path, touched),
        }
    }

    fn create(
        &mut self,
        path: &Path,
        kind: NodeKind,
        number: u32,
        settings: &Settings,
    ) {
        let mut node = Node::new(kind, number);
        node.settings = settings.clone();
        if let Some(family) = kind.family() {
            let next = self.next_numbers.entry(family).or_insert(1);
            *next = (*next).max(number.saturating_add(1));
        }
        if let Some(name) = family_name(path, &node) {
            self.names.insert(name, path.clone());
        }
        self.nodes.insert(path.clone(), node);
    }

    /// Remembers on the adapter that this number of a version is used up.
    fn note_version(
        &mut self,
        adapter: &Path,
        version: &str,
    ) {
        let version = version.parse().unwrap_or_default();
        if let Some(adapter) = self.nodes.get_mut(adapter) {
            adapter.last_version = adapter.last_version.max(version);
        }
    }

    fn delete(
        &mut self,
        path: &Path,
        touched: &mut Touched,
    ) {
        let gone: Vec<_> = self
            .within(path)
            .map(|(path, node)| {
                (
                    path.clone(),
                    node.kind,
                    node.number,
                    family_name(path, node),
                )
            })
            .collect();
        for (path, kind, number, name) in gone {
            self.nodes.remove(&path);
            match name {
                Some((family, name)) => {
                    self.names.remove(&(family, name.clone()));
                    touched.removed.push(Removed {
                        path,
                        family,
                        number,
                        name,
                    });
                }
                None => touched.paths.extend(entity(&path, kind)),
            }
        }
        touched.paths.retain(|touched| !touched.is_within(path));
    }

    /// Notes everything whose value of `setting` may come from `path`.
    fn touch(
        &self,
        path: &Path,
        setting: Setting,
        touched: &mut Touched,
    ) {
        let kinds = setting.rule().kinds;
        let reached = self
            .within(path)
            .filter(|(_, node)| kinds.contains(&node.kind))
            .filter_map(|(path, node)| entity(path, node.kind));
        touched.paths.extend(reached);
    }

    /// Notes everything whose value names what was deleted and made anew under its old name.
    ///
    /// Such a thing has another number, and whoever names it would go on pointing at the old one:
    /// adapters of a base model that no engine runs any more.
    pub(super) fn touch_renumbered(
        &self,
        touched: &mut Touched,
    ) {
        let renumbered: BTreeSet<Family> = touched
            .removed
            .iter()
            .filter(|gone| self.named(gone.family, &gone.name).is_some())
            .map(|gone| gone.family)
            .collect();
        for setting in Setting::ALL {
            let family = match setting.rule().shape {
                Shape::Reference(family) => family,
                Shape::Accounts => Family::Accounts,
                _ => continue,
            };
            if renumbered.contains(&family) {
                self.touch(&Path::root(), setting, touched);
            }
        }
    }

    /// The number that the next node of this family gets.
    pub(super) fn next_number(
        &self,
        family: Family,
    ) -> u32 {
        self.next_numbers.get(&family).copied().unwrap_or(1)
    }
}

/// The path of what a node is resolved as a part of.
fn entity(
    path: &Path,
    kind: NodeKind,
) -> Option<Path> {
    match (kind, kind.family()) {
        (NodeKind::Version | NodeKind::Call, _) => path.parent(),
        (_, Some(_)) => Some(path.clone()),
        (_, None) => None,
    }
}
