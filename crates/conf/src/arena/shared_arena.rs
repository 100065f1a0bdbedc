use {super::ArenaKey, imbl::Vector, std::marker::PhantomData};

/// An arena whose copies share what they have in common.
///
/// Copying it costs the same at any size, and changing a copy costs a few small blocks, so that a
/// new revision of a large configuration needs neither the time nor the memory of a second one.
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
    /// What stands at `key`.
    pub fn get(
        &self,
        key: K,
    ) -> Option<&T> {
        self.slots.get(key.index()).and_then(Option::as_ref)
    }

    /// What stands at `key`, to be changed.
    pub fn get_mut(
        &mut self,
        key: K,
    ) -> Option<&mut T> {
        self.slots.get_mut(key.index()).and_then(Option::as_mut)
    }

    /// Everything that stands in the arena, in the order of the numbers.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().flatten()
    }

    /// Puts `value` at `key`, in place of what stood there.
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

    /// Takes out what stands at `key`.
    pub fn remove(
        &mut self,
        key: K,
    ) -> Option<T> {
        self.slots.get_mut(key.index()).and_then(Option::take)
    }
}
