use jasmine_core::ids::{
    AccountId, AdapterId, DataCentreId, KeyId, ModelId, ServiceId, UpstreamId,
};

/// A number that can address a [`super::SharedArena`].
pub trait ArenaKey: Copy {
    /// The place in the arena.
    fn index(self) -> usize;
}

/// Implements [`ArenaKey`] for numbers given out densely from zero.
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
