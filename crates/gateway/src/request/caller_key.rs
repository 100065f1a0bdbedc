use {jasmine_conf::fleet::KeyDigest, jasmine_core::error::ErrorKind, std::fmt};

/// Minimum length in bytes; the search for shorter keys in requests would give false positives.
const MIN_KEY_BYTES: usize = 8;
/// Maximum length in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The API key of a caller, which is never logged and never forwarded.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Parses the value of an `Authorization` header.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyMissing`] if the value is absent or malformed.
    pub fn from_authorization(value: Option<&[u8]>) -> Result<Self, ErrorKind> {
        let value = value.and_then(|value| std::str::from_utf8(value).ok());
        let (scheme, key) = value
            .and_then(|value| value.trim().split_once(' '))
            .ok_or(ErrorKind::KeyMissing)?;
        let key = key.trim();
        let is_well_formed = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len())
            && key.bytes().all(|b| b.is_ascii_graphic());
        if scheme.eq_ignore_ascii_case("bearer") && is_well_formed {
            Ok(Self(key.to_owned()))
        } else {
            Err(ErrorKind::KeyMissing)
        }
    }

    /// Returns the digest that identifies the key in the configuration.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Whether `bytes` contain the key, literally or percent-encoded.
    pub fn is_in(
        &self,
        bytes: &[u8],
    ) -> bool {
        contains(bytes, self.0.as_bytes())
            || (bytes.contains(&b'%') && contains(&percent_decoded(bytes), self.0.as_bytes()))
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

fn contains(
    bytes: &[u8],
    needle: &[u8],
) -> bool {
    bytes
        .windows(needle.len())
        .any(|window| window[0] == needle[0] && window == needle)
}

fn percent_decoded(bytes: &[u8]) -> Vec<u8> {
    let digit = |b: u8| (b as char).to_digit(16);
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let [first, tail @ ..] = rest {
        let escaped = match (first, tail) {
            (b'%', [high, low, ..]) => digit(*high).zip(digit(*low)),
            _ => None,
        };
        let (byte, length) =
            escaped.map_or((*first, 1), |(high, low)| ((high * 16 + low) as u8, 3));
        decoded.push(byte);
        rest = &rest[length..];
    }
    decoded
}
