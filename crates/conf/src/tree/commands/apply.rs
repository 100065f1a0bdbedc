use {
    crate::tree::{
        AcceptedEdit, EditError, EditOp, EntityChanges, Family, Node, NodeKind, Path,
        RemovedEntity, Setting, Settings, Tree, ValueType, tree_nodes::family_name,
    },
    std::collections::BTreeSet,
};

impl Tree {
    /// Applies an accepted edit and returns the changed entities.
    ///
    /// Edits are not validated again, so they have the same effect on VMs with different versions of
    /// the validation. Ops are idempotent: replaying a sequence of edits up to the newest on nodes that
    /// already include some of them gives the newest tree. On an error the tree is unchanged.
    ///
    /// # Errors
    ///
    /// [`EditError::OutOfOrder`] if the edit does not make the next revision.
    pub fn apply(
        &mut self,
        accepted: &AcceptedEdit,
    ) -> Result<EntityChanges, EditError> {
        if accepted.revision != self.revision.next() {
            return Err(EditError::OutOfOrder {
                have: self.revision,
                found: accepted.revision,
            });
        }
        let mut changes = EntityChanges::default();
        let mut numbers = accepted.numbers.iter().copied();
        for op in &accepted.edit.ops {
            let number = match op {
                EditOp::Create { .. } => numbers.next().unwrap_or_default(),
                _ => 0,
            };
            self.apply_op(op, number, &mut changes);
        }
        self.mark_renumbered(&mut changes);
        self.revision = accepted.revision;
        Ok(changes)
    }

    /// Applies one op; `number` is assigned to a created node.
    pub(super) fn apply_op(
        &mut self,
        op: &EditOp,
        number: u32,
        changes: &mut EntityChanges,
    ) {
        match op {
            EditOp::Create {
                path,
                kind,
                settings,
            } => {
                self.create(path, *kind, number, settings);
                if let (NodeKind::Version, Some(adapter)) = (kind, path.parent()) {
                    self.record_version(&adapter, path.name());
                }
                changes.paths.extend(entity(path, *kind));
            }
            EditOp::Set {
                path,
                setting,
                value,
            } => {
                if let Some(node) = self.nodes.get_mut(path) {
                    node.settings.set(*setting, value.clone());
                }
                self.mark_affected(path, *setting, changes);
            }
            EditOp::Unset { path, setting } => {
                if let Some(node) = self.nodes.get_mut(path) {
                    node.settings.unset(*setting);
                }
                self.mark_affected(path, *setting, changes);
            }
            EditOp::Delete { path } => self.delete(path, changes),
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

    /// Records on the adapter that this version number was used.
    fn record_version(
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
        changes: &mut EntityChanges,
    ) {
        let removed: Vec<_> = self
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
        for (path, kind, number, name) in removed {
            self.nodes.remove(&path);
            match name {
                Some((family, name)) => {
                    self.names.remove(&(family, name.clone()));
                    changes.removed.push(RemovedEntity {
                        path,
                        family,
                        number,
                        name,
                    });
                }
                None => changes.paths.extend(entity(&path, kind)),
            }
        }
        changes.paths.retain(|changes| !changes.is_within(path));
    }

    /// Marks all entities whose value of `setting` may be inherited from `path`.
    fn mark_affected(
        &self,
        path: &Path,
        setting: Setting,
        changes: &mut EntityChanges,
    ) {
        let kinds = setting.spec().kinds;
        let reached = self
            .within(path)
            .filter(|(_, node)| kinds.contains(&node.kind))
            .filter_map(|(path, node)| entity(path, node.kind));
        changes.paths.extend(reached);
    }

    /// Marks all entities that may refer to a node that was deleted and created again under its old name.
    ///
    /// The new node has another number, so resolved references to the old number are outdated.
    pub(super) fn mark_renumbered(
        &self,
        changes: &mut EntityChanges,
    ) {
        let renumbered: BTreeSet<Family> = changes
            .removed
            .iter()
            .filter(|removed| self.named(removed.family, &removed.name).is_some())
            .map(|removed| removed.family)
            .collect();
        for setting in Setting::ALL {
            let family = match setting.spec().value_type {
                ValueType::Reference(family) => family,
                ValueType::Accounts => Family::Accounts,
                _ => continue,
            };
            if renumbered.contains(&family) {
                self.mark_affected(&Path::root(), setting, changes);
            }
        }
    }

    /// The number to assign to the next node of this family.
    pub(super) fn next_number(
        &self,
        family: Family,
    ) -> u32 {
        self.next_numbers.get(&family).copied().unwrap_or(1)
    }
}

/// The path of the entity that a node is resolved into; `None` for groups.
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
