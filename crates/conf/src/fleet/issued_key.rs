use {super::KeyDigest, crate::hex};

/// What every caller's key begins with, so that scanners find one that was committed or mailed.
pub const KEY_PREFIX: &str = "jsk_";

/// Random bytes of a key.
const KEY_BYTES: usize = 24;

/// A new key of a caller, whole; it is shown once and stored nowhere.
#[derive(Clone, PartialEq, Eq)]
pub struct IssuedKey(String);

impl IssuedKey {
    /// A key that nobody can guess.
    pub fn random() -> Self {
        let secret = hex::encode(&rand::random::<[u8; KEY_BYTES]>());
        Self(format!("{KEY_PREFIX}{secret}"))
    }

    /// The key as its caller will present it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Its digest, which is what the tree keeps.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }
}

impl std::fmt::Debug for IssuedKey {
    /// Hides the key: debug output ends up in logs.
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str("IssuedKey(hidden)")
    }
}
