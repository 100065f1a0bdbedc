use {super::ArenaKey, imbl::Vector, std::marker::PhantomData};

/// A persistent arena whose clones share unchanged values.
///
/// The cost of a clone does not depend on the size, and a change copies only a few small blocks, so a
/// new revision of a large configuration is cheap to create and to keep.
#[derive(Clone, Debug)]
pub struct SharedArena<K, T>
where
    T: Clone,
{
    slots: Vector<Option<T>>,
    key: PhantomData<K>,
}

impl<K, T> Default for SharedArena<K, T>
where
    T: Clone,
{
    fn default() -> Self {
        Self {
            slots: Vector::new(),
            key: PhantomData,
        }
    }
}

impl<K, T> PartialEq for SharedArena<K, T>
where
    K: ArenaKey,
    T: Clone + PartialEq,
{
    fn eq(
        &self,
        other: &Self,
    ) -> bool {
        self.iter().eq(other.iter())
    }
}

impl<K, T> SharedArena<K, T>
where
    K: ArenaKey,
    T: Clone,
{
    /// The value at `key`.
    pub fn get(
        &self,
        key: K,
    ) -> Option<&T> {
        self.slots.get(key.index()).and_then(Option::as_ref)
    }

    /// Mutable access to the value at `key`.
    pub fn get_mut(
        &mut self,
        key: K,
    ) -> Option<&mut T> {
        self.slots.get_mut(key.index()).and_then(Option::as_mut)
    }

    /// All values, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().flatten()
    }

    /// Sets the value at `key`, replacing the previous one.
    pub fn insert(
        &mut self,
        key: K,
        value: T,
    ) {
        while self.slots.len() <= key.index() {
            self.slots.push_back(None);
        }
        self.slots.set(key.index(), Some(value));
    }

    /// Removes and returns the value at `key`.
    pub fn remove(
        &mut self,
        key: K,
    ) -> Option<T> {
        self.slots.get_mut(key.index()).and_then(Option::take)
    }
}
