use {
    super::Versions,
    jasmine_core::ids::{AccountId, AdapterId, ModelId},
};

/// Which client accounts may use an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// All client accounts.
    All,
    /// Only these client accounts.
    Accounts(Vec<AccountId>),
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The name of its weights in the weight store.
    pub weights: String,
}

/// A LoRA adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// The id assigned at creation.
    pub id: AdapterId,
    /// The name used in requests.
    pub name: String,
    /// The base model that the adapter was trained for.
    pub model: ModelId,
    /// The client accounts that may use the adapter.
    pub access: Access,
    /// The version used for requests that do not specify one; `None` if requests must specify one.
    pub live: Option<u32>,
    /// The available versions.
    pub versions: Versions,
}
