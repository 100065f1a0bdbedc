use {
    crate::hex,
    jasmine_core::ids::{AccountId, KeyId},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// The SHA-256 digest of a caller's key, stored instead of the key.
///
/// Represented as 64 lower-case hex digits in text and in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a plain-text key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(&digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        hex::decode_32(&text)
            .map(Self)
            .ok_or("64 lower-case hex digits, the SHA-256 of a key")
    }
}

/// A caller's key, identified by its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The id assigned at creation.
    pub id: KeyId,
    /// The client account of requests with this key.
    pub account: AccountId,
    /// Whether the key is withdrawn and no longer valid.
    pub withdrawn: bool,
}
