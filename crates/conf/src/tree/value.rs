use serde::{Deserialize, Serialize};

/// What a setting is set to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// Yes or no.
    Flag(bool),
    /// A whole number, zero or more.
    Number(u64),
    /// A text or a name.
    Text(Box<str>),
    /// A list of names.
    Names(Vec<Box<str>>),
}

impl Value {
    /// A text.
    pub fn text(text: &str) -> Self {
        Self::Text(Box::from(text))
    }

    /// The number, where it is one.
    pub const fn as_number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// The flag, where it is one.
    pub const fn as_flag(&self) -> Option<bool> {
        match self {
            Self::Flag(flag) => Some(*flag),
            _ => None,
        }
    }

    /// The text, where it is one.
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
