use super::KeyValue;

/// The keys from `start` up to, not including, `end`; one key where there is no `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first key.
    pub start: String,
    /// The key after the last.
    pub end: Option<String>,
    /// At most this many keys, zero for all.
    pub limit: u32,
}

impl Range {
    /// One key.
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            start: key.into(),
            end: None,
            limit: 0,
        }
    }

    /// All keys from `start` up to `end`.
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

    /// All keys that begin with `prefix`, which ends in an ASCII character.
    pub fn prefix(prefix: impl Into<String>) -> Self {
        let start = prefix.into();
        let mut end = start.clone();
        let last = end.pop().unwrap_or('\0');
        end.push(char::from(last as u8 + 1));
        Self::between(start, end)
    }

    /// The same range, cut after `limit` keys.
    pub fn limit(
        mut self,
        limit: u32,
    ) -> Self {
        self.limit = limit;
        self
    }
}

/// What a range held at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeReply {
    /// The store's revision.
    pub revision: u64,
    /// The keys found, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut some off.
    pub more: bool,
}
