use {
    super::{Family, Value},
    crate::hex,
    std::net::SocketAddr,
};

/// HTTP methods that a call may have.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
/// How many names a list may have.
const MAX_NAMES: usize = 1_000;
/// Bytes of a call's path.
const MAX_URL_PATH: usize = 256;

/// The type and range of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A whole number between the two, both included.
    Number(u64, u64),
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The name of something else in the tree.
    Reference(Family),
    /// `"all"`, or a list of names of client accounts.
    Accounts,
    /// A text of at most so many bytes.
    Text(usize),
    /// An IP address and port.
    Address,
    /// An HTTP method in capitals.
    Method,
    /// A path that begins with a slash.
    UrlPath,
    /// 64 hex digits.
    Digest,
}

impl Shape {
    /// Whether `value` is of this type and in range.
    pub fn admits(
        self,
        value: &Value,
    ) -> bool {
        match (self, value) {
            (Self::Number(least, most), Value::Number(n)) => (least..=most).contains(n),
            (Self::Flag, Value::Flag(_)) => true,
            (Self::Choice(words), Value::Text(text)) => words.contains(&&**text),
            (Self::Reference(_), Value::Text(name)) => is_short_text(name, super::path::MAX_NAME),
            (Self::Accounts, Value::Text(text)) => &**text == "all",
            (Self::Accounts, Value::Names(names)) => names.len() <= MAX_NAMES,
            (Self::Text(most), Value::Text(text)) => is_short_text(text, most),
            (Self::Address, Value::Text(text)) => text.parse::<SocketAddr>().is_ok(),
            (Self::Method, Value::Text(text)) => METHODS.contains(&&**text),
            (Self::UrlPath, Value::Text(text)) => {
                text.starts_with('/')
                    && is_short_text(text, MAX_URL_PATH)
                    && !text.contains(['?', '#', ' '])
            }
            (Self::Digest, Value::Text(text)) => hex::decode_32(text).is_some(),
            _ => false,
        }
    }

    /// What is allowed, as an operator reads it.
    pub fn allowed(self) -> String {
        match self {
            Self::Number(least, most) => format!("a whole number, {least} to {most}"),
            Self::Flag => "true or false".to_owned(),
            Self::Choice(words) => words.join(", "),
            Self::Reference(Family::Models) => "the name of a base model".to_owned(),
            Self::Reference(Family::Services) => "the name of a plain service".to_owned(),
            Self::Reference(Family::DataCentres) => "the name of a data centre".to_owned(),
            Self::Reference(_) => "a name in the tree".to_owned(),
            Self::Accounts => {
                format!("\"all\", or a list of at most {MAX_NAMES} names of client accounts")
            }
            Self::Text(most) => format!("a text of at most {most} bytes"),
            Self::Address => "an IP address and port, such as 10.0.0.1:8000".to_owned(),
            Self::Method => METHODS.join(", "),
            Self::UrlPath => {
                format!("a path of at most {MAX_URL_PATH} bytes that begins with a slash")
            }
            Self::Digest => "64 lower-case hex digits".to_owned(),
        }
    }
}

fn is_short_text(
    text: &str,
    most: usize,
) -> bool {
    text.len() <= most && !text.chars().any(char::is_control)
}
