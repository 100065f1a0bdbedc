use {
    super::Versions,
    jasmine_core::ids::{AccountId, AdapterId, ModelId},
};

/// Which client accounts may use an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// All of them.
    All,
    /// Only these.
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
    /// Its number.
    pub id: AdapterId,
    /// Its name as callers write it.
    pub name: String,
    /// The base model it was made for.
    pub model: ModelId,
    /// Who may use it.
    pub access: Access,
    /// The version that a request without a version gets; none: a version must be named.
    pub live: Option<u32>,
    /// The versions that may be asked for.
    pub versions: Versions,
}
