use super::KeyValue;

/// The keys from `start` (inclusive) to `end` (exclusive), or one key if `end` is `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first key of the range.
    pub start: String,
    /// The exclusive upper bound; `None` selects only `start`.
    pub end: Option<String>,
    /// Maximum number of keys returned; zero for no limit.
    pub limit: u32,
}

impl Range {
    /// Selects one key.
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            start: key.into(),
            end: None,
            limit: 0,
        }
    }

    /// Selects all keys from `start` (inclusive) to `end` (exclusive).
    pub fn between(
        start: impl Into<String>,
        end: impl Into<String>,
    ) -> Self {
        Self {
            start: start.into(),
            end: Some(end.into()),
            limit: 0,
        }
    }

    /// Selects all keys that begin with `prefix`, which must end in an ASCII character.
    pub fn prefix(prefix: impl Into<String>) -> Self {
        let start = prefix.into();
        let mut end = start.clone();
        let last = end.pop().unwrap_or('\0');
        end.push(char::from(last as u8 + 1));
        Self::between(start, end)
    }

    /// Limits the number of keys returned.
    pub fn limit(
        mut self,
        limit: u32,
    ) -> Self {
        self.limit = limit;
        self
    }
}

/// The keys of a range at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// The store revision of the read.
    pub revision: u64,
    /// The keys found, in key order.
    pub kvs: Vec<KeyValue>,
    /// Whether more keys exist beyond the limit.
    pub more: bool,
}
