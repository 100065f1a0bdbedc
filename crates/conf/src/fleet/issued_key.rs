use {super::KeyDigest, crate::hex};

/// The prefix of every caller's key, which lets secret scanners detect leaked keys.
pub const KEY_PREFIX: &str = "jsk_";

/// The number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// A new caller's key in plain text, which is shown once and never stored.
#[derive(Clone, PartialEq, Eq)]
pub struct IssuedKey(String);

impl IssuedKey {
    /// Generates a random key.
    pub fn random() -> Self {
        let secret = hex::encode(&rand::random::<[u8; KEY_BYTES]>());
        Self(format!("{KEY_PREFIX}{secret}"))
    }

    /// The key in plain text.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// The digest of the key, which is stored in the tree.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl std::fmt::Debug for IssuedKey {
    /// Omits the key, because debug output may be logged.
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str("IssuedKey(hidden)")
    }
}
