use {
    super::{InheritedValues, entity::remove_entity},
    crate::{
        fleet::Fleet,
        tree::{EntityChanges, Tree},
    },
};

impl Tree {
    /// Resolves all nodes with inherited values.
    ///
    /// Nodes that cannot be resolved are skipped; validation prevents them in accepted trees.
    pub fn resolve(&self) -> Fleet {
        let mut fleet = Fleet::default();
        let mut levels = InheritedValues::new(self);
        for (path, node) in self.nodes() {
            if let Ok(Some(entity)) = self.entity(path, node, &mut levels) {
                entity.insert_into(&mut fleet);
            }
        }
        fleet.revision = self.revision();
        fleet
    }

    /// Updates `fleet` from the previous revision to this one.
    ///
    /// The cost depends on the size of the edit's changes, not on the number of unchanged entities.
    pub fn refresh(
        &self,
        fleet: &mut Fleet,
        changes: &EntityChanges,
    ) {
        let mut levels = InheritedValues::new(self);
        for removed in &changes.removed {
            remove_entity(removed, fleet);
        }
        for path in &changes.paths {
            let entity = self
                .node(path)
                .and_then(|node| self.entity(path, node, &mut levels).ok().flatten());
            if let Some(entity) = entity {
                entity.insert_into(fleet);
            }
        }
        fleet.revision = self.revision();
    }
}
