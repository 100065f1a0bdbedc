/// Splits a byte stream into lines of bounded length.
#[derive(Debug)]
pub struct JsonLines {
    buf: Vec<u8>,
    limit: usize,
}

impl JsonLines {
    /// Creates a splitter for lines of up to `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            buf: Vec::new(),
            limit,
        }
    }

    /// Appends received bytes; returns false if the incomplete line exceeds the limit.
    pub fn push(
        &mut self,
        chunk: &[u8],
    ) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= self.limit || self.buf.contains(&b'\n')
    }

    /// Removes and returns the next complete line that isn't blank.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            let end = self.buf.iter().position(|&byte| byte == b'\n')?;
            let rest = self.buf.split_off(end + 1);
            let mut line = std::mem::replace(&mut self.buf, rest);
            line.truncate(end);
            if !line.iter().all(u8::is_ascii_whitespace) {
                return Some(line);
            }
        }
    }
}
