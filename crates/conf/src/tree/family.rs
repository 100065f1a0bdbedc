use serde::{Deserialize, Serialize};

/// Kinds whose members share one sequence of numbers and one set of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Family {
    /// Client accounts.
    Accounts,
    /// Keys; their name is the digest.
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
