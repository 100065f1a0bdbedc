/// Splits a stream of bytes into lines of JSON, with a bound on the length of a line.
#[derive(Debug)]
pub struct JsonLines {
    buf: Vec<u8>,
    limit: usize,
}

impl JsonLines {
    /// A splitter for lines of up to `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            buf: Vec::new(),
            limit,
        }
    }

    /// Adds what has arrived; false when the line in progress is over the limit.
    pub fn push(
        &mut self,
        chunk: &[u8],
    ) -> bool {
        self.buf.extend_from_slice(chunk);
        self.buf.len() <= self.limit || self.buf.contains(&b'\n')
    }

    /// The next whole line that isn't empty.
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
