use {jasmine_conf::fleet::KeyDigest, jasmine_core::error::ErrorKind, std::fmt};

/// Bytes that a key has at least; a shorter one would be found in ordinary text by chance.
const MIN_KEY_BYTES: usize = 8;
/// Bytes that a key has at most.
const MAX_KEY_BYTES: usize = 256;

/// The key as the caller presents it; it is never logged and never sent on.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey(String);

impl CallerKey {
    /// Takes the key out of the value of an `Authorization` header.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyMissing`] when there is none or it is malformed.
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

    /// The digest under which the configuration knows it.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Whether the key stands somewhere in `bytes`, as it is or percent-encoded.
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
