use {
    super::EditError,
    serde::{Deserialize, Serialize},
};

/// The maximum length of an edit id.
const MAX_EDIT_ID_BYTES: usize = 64;

/// The id of an edit: 1 to 64 characters of `A-Za-z0-9._-`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(try_from = "String", into = "String")]
pub struct EditId(Box<str>);

impl EditId {
    /// Parses an edit id.
    ///
    /// # Errors
    ///
    /// [`EditError::BadEditId`] if the text is not a valid id.
    pub fn parse(text: &str) -> Result<Self, EditError> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
        if (1..=MAX_EDIT_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed) {
            return Ok(Self(Box::from(text)));
        }
        Err(EditError::BadEditId)
    }

    /// Generates a random 128-bit id in hex.
    pub fn random() -> Self {
        Self(crate::hex::encode(&rand::random::<[u8; 16]>()).into())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for EditId {
    type Error = EditError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text)
    }
}

impl From<EditId> for String {
    fn from(id: EditId) -> Self {
        id.0.into()
    }
}
