use serde::{Deserialize, Serialize};

/// Declares a numeric id type.
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
    /// Id of a VM of the serving layer, as in the settings.
    VmId(u32)
);
number!(
    /// Id of a data centre.
    DataCentreId(u16)
);
number!(
    /// Id of a client account.
    AccountId(u32)
);
number!(
    /// Id of an API key; not the secret key.
    KeyId(u32)
);
number!(
    /// Id of a LoRA adapter, common to all its versions.
    AdapterId(u32)
);
number!(
    /// Id of a base model.
    ModelId(u32)
);
number!(
    /// Id of an upstream: a model engine or a server of a plain service.
    UpstreamId(u32)
);
number!(
    /// Id of a build: a version of the upstreams' software. Builds have no order.
    BuildId(u32)
);
number!(
    /// Id of a plain service, which is not a model engine.
    ServiceId(u32)
);
number!(
    /// Id of a route of the configuration.
    RouteId(u32)
);
number!(
    /// Id of a request, unique in a gateway process.
    RequestId(u64)
);
number!(
    /// Id of a stream on all VMs: a hash of the request id of the caller's attempt that began it.
    StreamId(u64)
);
number!(
    /// Id of a transfer of rights, unique at the holder that asks for it.
    TransferId(u64)
);
