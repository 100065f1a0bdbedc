use jasmine_core::ids::{
    AccountId, AdapterId, DataCentreId, KeyId, ModelId, ServiceId, UpstreamId,
};

/// An id that can index a [`super::SharedArena`].
pub trait ArenaKey: Copy {
    /// The index in the arena.
    fn index(self) -> usize;
}

/// Implements [`ArenaKey`] for ids that are assigned densely.
macro_rules! dense {
    ($($name:ident),* $(,)?) => {
        $(impl ArenaKey for $name {
            fn index(self) -> usize {
                self.0 as usize
            }
        })*
    };
}

dense!(
    AccountId,
    AdapterId,
    DataCentreId,
    KeyId,
    ModelId,
    ServiceId,
    UpstreamId,
);
