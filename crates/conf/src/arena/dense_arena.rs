use {super::ArenaKey, std::marker::PhantomData};

/// A vector addressed by one kind of number, with holes where something was deleted.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    slots: Vec<Option<T>>,
    key: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K, T> Arena<K, T>
where
    K: ArenaKey,
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
        let index = key.index();
        if index >= self.slots.len() {
            self.slots.resize_with(index + 1, || None);
        }
        self.slots[index] = Some(value);
    }

    /// Takes out what stands at `key`.
    pub fn remove(
        &mut self,
        key: K,
    ) -> Option<T> {
        self.slots.get_mut(key.index()).and_then(Option::take)
    }
}
