use {
    jasmine_core::ids::{AccountId, KeyId},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// The SHA-256 digest of a caller's key; the key itself is stored nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// The digest of a key as the caller presents it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Its number.
    pub id: KeyId,
    /// The client account that its requests run for.
    pub account: AccountId,
    /// Whether operators have withdrawn it.
    pub withdrawn: bool,
}
