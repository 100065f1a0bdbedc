use {
    super::Problem,
    jasmine_core::ids::AccountId,
    sha2::{Digest, Sha256},
};

/// Bytes that an idempotency key has at most.
const MAX_KEY_BYTES: usize = 255;

/// The value of an `Idempotency-Key` header.
///
/// The draft has it as a string in double quotes; many clients leave the quotes out, so both are
/// taken and mean the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Reads the header's value.
    ///
    /// # Errors
    ///
    /// `bad_request` when it is empty, too long, or holds other than visible ASCII.
    pub fn parse(value: &[u8]) -> Result<Self, Problem> {
        let malformed =
            Problem::bad_request("The Idempotency-Key is not 1 to 255 visible ASCII characters.");
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

    /// The key as it is sent on.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// What the store knows the key by: accounts can't meet each other's keys.
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
