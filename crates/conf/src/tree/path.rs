use {
    super::EditError,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, sync::Arc},
};

/// The maximum number of levels in a path.
pub const MAX_PATH_LEVELS: usize = 8;
/// The maximum length of one name in a path, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The path of a node in the tree, such as `/adapters/clinics/enrolment`.
///
/// Each name has 1 to [`MAX_NAME_BYTES`] characters of `A-Za-z0-9._-` and starts with a letter or digit. The root is `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(try_from = "String", into = "String")]
pub struct Path(Arc<str>);

impl Path {
    /// The root of the tree.
    pub fn root() -> Self {
        Self(Arc::from("/"))
    }

    /// Parses a path.
    ///
    /// # Errors
    ///
    /// [`EditError::BadPath`] if the text is not a valid path.
    pub fn parse(text: &str) -> Result<Self, EditError> {
        if text == "/" {
            return Ok(Self::root());
        }
        let names = text.strip_prefix('/').unwrap_or_default();
        if names.split('/').all(is_name) && names.split('/').count() <= MAX_PATH_LEVELS {
            return Ok(Self(Arc::from(text)));
        }
        Err(EditError::BadPath {
            path: text.chars().take(4 * MAX_NAME_BYTES).collect(),
        })
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The last name; empty for the root.
    pub fn name(&self) -> &str {
        self.0.rsplit_once('/').map_or("", |(_, name)| name)
    }

    /// The first name, which is the top-level collection; empty for the root.
    pub fn collection(&self) -> &str {
        self.0.split('/').nth(1).unwrap_or_default()
    }

    /// The parent path; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        match self.0.rsplit_once('/') {
            Some(("", "")) | None => None,
            Some(("", _)) => Some(Self::root()),
            Some((parent, _)) => Some(Self(Arc::from(parent))),
        }
    }

    /// The path of a child node.
    ///
    /// # Errors
    ///
    /// [`EditError::BadPath`] if `name` is not a valid name or the path has too many levels.
    pub fn child(
        &self,
        name: &str,
    ) -> Result<Self, EditError> {
        Self::parse(&format!("{}/{name}", self.prefix()))
    }

    /// Whether this path is `other` or a descendant of it.
    pub fn is_within(
        &self,
        other: &Self,
    ) -> bool {
        self == other
            || self
                .0
                .strip_prefix(other.prefix())
                .is_some_and(|rest| rest.starts_with('/'))
    }

    /// The common prefix of all descendants, without the trailing slash.
    pub(super) fn prefix(&self) -> &str {
        match self.as_str() {
            "/" => "",
            text => text,
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    name.len() <= MAX_NAME_BYTES
        && name.bytes().all(allowed)
        && name.starts_with(|first: char| first.is_ascii_alphanumeric())
}

impl Borrow<str> for Path {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Path {
    type Error = EditError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text)
    }
}

impl From<Path> for String {
    fn from(path: Path) -> Self {
        path.as_str().to_owned()
    }
}
