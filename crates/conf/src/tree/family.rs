use serde::{Deserialize, Serialize};

/// A group of node kinds that share a number sequence and a namespace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Family {
    /// Client accounts.
    Accounts,
    /// Keys, named by their digest.
    Keys,
    /// Adapters.
    Adapters,
    /// Base models.
    Models,
    /// Engines and servers.
    Upstreams,
    /// Plain services.
    Services,
    /// Data centres.
    DataCentres,
}
