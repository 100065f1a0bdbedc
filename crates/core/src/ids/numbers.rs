use serde::{Deserialize, Serialize};

/// Declares a number that names one kind of thing.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[derive(derive_more::Display)]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

number!(
    /// A VM of the serving layer, by its number in the settings.
    VmId(u32)
);
number!(
    /// A data centre.
    DataCentreId(u16)
);
number!(
    /// A client account.
    AccountId(u32)
);
number!(
    /// A caller's key; never the key itself.
    KeyId(u32)
);
number!(
    /// A LoRA adapter, all its versions together.
    AdapterId(u32)
);
number!(
    /// A base model.
    ModelId(u32)
);
number!(
    /// An upstream: a model engine or a server of a plain service.
    UpstreamId(u32)
);
number!(
    /// A plain service beside the model engines.
    ServiceId(u32)
);
number!(
    /// A request inside one gateway process.
    RequestId(u64)
);
number!(
    /// A transfer of rights, unique for the holder that asked for it.
    TransferId(u64)
);
