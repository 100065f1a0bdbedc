use {
    super::{Levels, entity::take_out},
    crate::{
        fleet::Fleet,
        tree::{Touched, Tree},
    },
};

impl Tree {
    /// Works out every value with inheritance applied.
    ///
    /// A node that doesn't resolve is left out; an edit that would leave one is refused, so none
    /// should stand in an accepted tree.
    pub fn resolve(&self) -> Fleet {
        let mut fleet = Fleet::default();
        let mut levels = Levels::new(self);
        for (path, node) in self.nodes() {
            if let Ok(Some(entity)) = self.entity(path, node, &mut levels) {
                entity.put(&mut fleet);
            }
        }
        fleet.revision = self.revision();
        fleet
    }

    /// Brings `fleet`, resolved from the revision before, up to this one.
    ///
    /// It costs what the edit touched, whatever the size of the tree.
    pub fn refresh(
        &self,
        fleet: &mut Fleet,
        touched: &Touched,
    ) {
        let mut levels = Levels::new(self);
        for removed in &touched.removed {
            take_out(removed, fleet);
        }
        for path in &touched.paths {
            let entity = self
                .node(path)
                .and_then(|node| self.entity(path, node, &mut levels).ok().flatten());
            if let Some(entity) = entity {
                entity.put(fleet);
            }
        }
        fleet.revision = self.revision();
    }
}
