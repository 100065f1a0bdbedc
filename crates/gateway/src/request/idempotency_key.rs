use {
    super::Problem,
    jasmine_core::ids::AccountId,
    sha2::{Digest, Sha256},
};

/// Maximum length in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The value of an `Idempotency-Key` header.
///
/// The IETF draft requires a string in double quotes; many clients omit the quotes, so both forms are
/// accepted and equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Parses the header value.
    ///
    /// # Errors
    ///
    /// `bad_request` if the key is empty, too long, or contains other than visible ASCII.
    pub fn parse(value: &[u8]) -> Result<Self, Problem> {
        let malformed =
            Problem::bad_request("The Idempotency-Key must be 1 to 255 visible ASCII characters.");
        let text = std::str::from_utf8(value)
            .map_err(|_not_utf8| malformed)?
            .trim();
        let text = match text.strip_prefix('"') {
            Some(quoted) => quoted.strip_suffix('"').ok_or(malformed)?,
            None => text,
        };
        let is_well_formed = (1..=MAX_KEY_BYTES).contains(&text.len())
            && text
                .bytes()
                .all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\');
        if is_well_formed {
            Ok(Self(text.to_owned()))
        } else {
            Err(malformed)
        }
    }

    /// Returns the key without quotes.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the digest that identifies the key in the store, distinct per account.
    pub fn digest(
        &self,
        account: AccountId,
    ) -> [u8; 32] {
        Sha256::new()
            .chain_update(account.0.to_be_bytes())
            .chain_update(self.0.as_bytes())
            .finalize()
            .into()
    }
}
