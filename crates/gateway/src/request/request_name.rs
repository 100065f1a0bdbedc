use super::CallerKey;

/// Characters that a caller's own request id may have.
const MAX_REQUEST_NAME_BYTES: usize = 64;

/// The name under which caller, logs and answers know a request.
///
/// Upstreams get another one, unique for each attempt: two callers may use the same name, and an answer
/// that crossed over could not be told from the right one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub struct RequestName(String);

impl RequestName {
    /// The caller's own id where it is well formed and doesn't hold the key.
    pub fn from_caller(
        value: &[u8],
        key: Option<&CallerKey>,
    ) -> Option<Self> {
        let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
        let is_well_formed =
            (1..=MAX_REQUEST_NAME_BYTES).contains(&value.len()) && value.iter().all(is_allowed);
        let holds_key = key.is_some_and(|key| key.is_in(value));
        match std::str::from_utf8(value) {
            Ok(name) if is_well_formed && !holds_key => Some(Self(name.to_owned())),
            _ => None,
        }
    }

    /// A name made here from a number that is unique.
    pub fn new(
        id_prefix: &str,
        number: u64,
    ) -> Self {
        Self(format!("req-{id_prefix}-{number}"))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
