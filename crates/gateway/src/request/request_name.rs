use super::CallerKey;

/// Maximum length of a request id set by the caller, in bytes.
const MAX_REQUEST_NAME_BYTES: usize = 64;

/// The request id in logs and in responses to the caller.
///
/// It need not be unique, since callers may set it. Upstreams get a unique id per attempt instead, so
/// that a response to another request is detected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub struct RequestName(String);

impl RequestName {
    /// Takes the caller's request id; `None` if it is malformed or contains the key.
    pub fn from_caller(
        value: &[u8],
        key: Option<&CallerKey>,
    ) -> Option<Self> {
        let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
        let is_well_formed =
            (1..=MAX_REQUEST_NAME_BYTES).contains(&value.len()) && value.iter().all(is_allowed);
        let has_key = key.is_some_and(|key| key.is_in(value));
        match std::str::from_utf8(value) {
            Ok(name) if is_well_formed && !has_key => Some(Self(name.to_owned())),
            _ => None,
        }
    }

    /// Creates a name from a unique request number.
    pub fn new(
        id_prefix: &str,
        number: u64,
    ) -> Self {
        Self(format!("req-{id_prefix}-{number}"))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
