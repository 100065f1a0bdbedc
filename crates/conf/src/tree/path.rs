use {
    super::EditError,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, sync::Arc},
};

/// Levels that a path may have.
pub const MAX_DEPTH: usize = 8;
/// Bytes of one name in a path.
pub const MAX_NAME: usize = 64;

/// Where a node stands in the tree, such as `/adapters/clinics/enrolment`.
///
/// Names between the slashes are 1 to [`MAX_NAME`] of `A-Za-z0-9._-` and begin with a letter or
/// digit. The root is `/`.
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

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// [`EditError::BadPath`] where the text is no path.
    pub fn parse(text: &str) -> Result<Self, EditError> {
        if text == "/" {
            return Ok(Self::root());
        }
        let names = text.strip_prefix('/').unwrap_or_default();
        if names.split('/').all(is_name) && names.split('/').count() <= MAX_DEPTH {
            return Ok(Self(Arc::from(text)));
        }
        Err(EditError::BadPath {
            path: text.chars().take(4 * MAX_NAME).collect(),
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

    /// The name of the first level, which tells what the path is about; empty for the root.
    pub fn collection(&self) -> &str {
        self.0.split('/').nth(1).unwrap_or_default()
    }

    /// The path one level up; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        match self.0.rsplit_once('/') {
            Some(("", "")) | None => None,
            Some(("", _)) => Some(Self::root()),
            Some((parent, _)) => Some(Self(Arc::from(parent))),
        }
    }

    /// The path one level down.
    ///
    /// # Errors
    ///
    /// [`EditError::BadPath`] where `name` is no name or the path gets too deep.
    pub fn child(
        &self,
        name: &str,
    ) -> Result<Self, EditError> {
        Self::parse(&format!("{}/{name}", self.prefix()))
    }

    /// Whether this path is `other` or stands anywhere below it.
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

    /// What the paths below begin with, without the slash that follows.
    pub(super) fn prefix(&self) -> &str {
        match self.as_str() {
            "/" => "",
            text => text,
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    name.len() <= MAX_NAME
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
