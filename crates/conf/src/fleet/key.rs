use {
    crate::hex,
    jasmine_core::ids::{AccountId, KeyId},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// The SHA-256 digest of a caller's key; the key itself is stored nowhere.
///
/// As text and in JSON it is 64 lower-case hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// The digest of a key as the caller presents it.
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
