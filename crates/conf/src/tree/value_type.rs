use {
    super::{Family, Value},
    crate::hex,
    std::net::SocketAddr,
};

/// HTTP methods allowed for calls.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];
/// The maximum number of names in a list.
const MAX_LIST_NAMES: usize = 1_000;
/// The maximum length of a call's path, in bytes.
const MAX_URL_PATH_BYTES: usize = 256;

/// The type and range of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number in an inclusive range.
    Number(u64, u64),
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// The name of a node of a family.
    Reference(Family),
    /// `"all"`, or a list of client account names.
    Accounts,
    /// A text with a maximum length in bytes.
    Text(usize),
    /// An IP address and port.
    Address,
    /// An HTTP method in capitals.
    Method,
    /// A URL path that starts with a slash.
    UrlPath,
    /// 64 lower-case hex digits.
    Digest,
}

impl ValueType {
    /// Whether `value` is of this type and in range.
    pub fn allows(
        self,
        value: &Value,
    ) -> bool {
        match (self, value) {
            (Self::Number(min, max), Value::Number(n)) => (min..=max).contains(n),
            (Self::Flag, Value::Flag(_)) => true,
            (Self::Choice(words), Value::Text(text)) => words.contains(&&**text),
            (Self::Reference(_), Value::Text(name)) => {
                is_short_text(name, super::path::MAX_NAME_BYTES)
            }
            (Self::Accounts, Value::Text(text)) => &**text == "all",
            (Self::Accounts, Value::Names(names)) => names.len() <= MAX_LIST_NAMES,
            (Self::Text(max), Value::Text(text)) => is_short_text(text, max),
            (Self::Address, Value::Text(text)) => text.parse::<SocketAddr>().is_ok(),
            (Self::Method, Value::Text(text)) => METHODS.contains(&&**text),
            (Self::UrlPath, Value::Text(text)) => {
                text.starts_with('/')
                    && is_short_text(text, MAX_URL_PATH_BYTES)
                    && !text.contains(['?', '#', ' '])
            }
            (Self::Digest, Value::Text(text)) => hex::decode_32(text).is_some(),
            _ => false,
        }
    }

    /// Describes the allowed values for operators.
    pub fn allowed(self) -> String {
        match self {
            Self::Number(min, max) => format!("a whole number, {min} to {max}"),
            Self::Flag => "true or false".to_owned(),
            Self::Choice(words) => words.join(", "),
            Self::Reference(Family::Models) => "the name of a base model".to_owned(),
            Self::Reference(Family::Services) => "the name of a plain service".to_owned(),
            Self::Reference(Family::DataCentres) => "the name of a data centre".to_owned(),
            Self::Reference(_) => "a name in the tree".to_owned(),
            Self::Accounts => {
                format!("\"all\", or a list of at most {MAX_LIST_NAMES} names of client accounts")
            }
            Self::Text(max) => format!("a text of at most {max} bytes"),
            Self::Address => "an IP address and port, such as 10.0.0.1:8000".to_owned(),
            Self::Method => METHODS.join(", "),
            Self::UrlPath => {
                format!("a path of at most {MAX_URL_PATH_BYTES} bytes that begins with a slash")
            }
            Self::Digest => "64 lower-case hex digits".to_owned(),
        }
    }
}

fn is_short_text(
    text: &str,
    max: usize,
) -> bool {
    text.len() <= max && !text.chars().any(char::is_control)
}
