/// Bytes that are replaced in what the target sends, at their first place in each read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rewrite {
    /// What is replaced; nothing is replaced in data without it.
    pub from: Vec<u8>,
    /// What stands in its place.
    pub to: Vec<u8>,
}

/// Changes that make a successful response a broken one, whatever its headers.
const BROKEN_HEADS: [(&str, &str); 8] = [
    ("HTTP/1.1 200", "HTTP/1.1 000"),
    ("HTTP/1.1 200", "HTTP/1.1 600"),
    ("HTTP/1.1 200", "\r\nHTTP/1.1 200"),
    ("\r\n", "\r\nX-Odd : a\r\n"),
    ("\r\n", "\r\nX Odd: a\r\n"),
    ("\r\n", "\r\nX-Odd: a\n"),
    ("\r\n", "\r\nTransfer-Encoding: identity\r\n"),
    (
        "HTTP/1.1 200",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 6\r\n\r\nforgedHTTP/1.1 200",
    ),
];

impl Rewrite {
    /// Replaces `from` by `to`.
    pub fn new(
        from: &str,
        to: &str,
    ) -> Self {
        Self {
            from: from.into(),
            to: to.into(),
        }
    }

    /// Changes that make a successful response a broken one, one kind each.
    pub fn broken_heads() -> impl Iterator<Item = Self> {
        BROKEN_HEADS.iter().map(|(from, to)| Self::new(from, to))
    }

    pub(super) fn apply(
        &self,
        data: &[u8],
    ) -> Option<Vec<u8>> {
        let len = self.from.len();
        let at = data.windows(len).position(|part| part == self.from)?;
        Some([&data[..at], &self.to, &data[at + len..]].concat())
    }
}
