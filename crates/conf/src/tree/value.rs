use serde::{Deserialize, Serialize};

/// The value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A boolean.
    Flag(bool),
    /// An unsigned whole number.
    Number(u64),
    /// A text or one name.
    Text(Box<str>),
    /// A list of names.
    Names(Vec<Box<str>>),
}

impl Value {
    /// Creates a text value.
    pub fn text(text: &str) -> Self {
        Self::Text(Box::from(text))
    }

    /// The value as a number; `None` for other types.
    pub const fn as_number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// The value as a boolean; `None` for other types.
    pub const fn as_flag(&self) -> Option<bool> {
        match self {
            Self::Flag(flag) => Some(*flag),
            _ => None,
        }
    }

    /// The value as text; `None` for other types.
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl std::fmt::Display for Value {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        match self {
            Self::Flag(flag) => write!(f, "{flag}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(text),
            Self::Names(names) => write!(f, "[{}]", names.join(", ")),
        }
    }
}
