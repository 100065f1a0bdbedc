use {
    super::OwnAnswer,
    crate::http1::AnswerHead,
    bytes::Bytes,
    std::{fmt::Write, io},
    tokio::{io::AsyncWriteExt, net::tcp::WriteHalf},
};

/// Writes the answer to one request.
#[derive(Debug)]
pub struct AnswerWriter<'a> {
    tx: WriteHalf<'a>,
    minor_version: u8,
    /// Whether the connection is used again after this answer.
    keeps: bool,
    is_head: bool,
    has_begun: bool,
}

impl<'a> AnswerWriter<'a> {
    /// A writer of the answer to a request.
    pub(super) const fn new(
        tx: WriteHalf<'a>,
        minor_version: u8,
        keeps: bool,
        is_head: bool,
    ) -> Self {
        Self {
            tx,
            minor_version,
            keeps,
            is_head,
            has_begun: false,
        }
    }

    /// Whether the connection is used again.
    pub const fn keeps(&self) -> bool {
        self.keeps
    }

    /// Whether bytes of an answer were written.
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Announces that the connection is closed after this answer.
    pub const fn close_after(&mut self) {
        self.keeps = false;
    }

    /// Writes an answer of the daemon's own.
    ///
    /// # Errors
    ///
    /// Where the caller has gone.
    pub async fn refuse(
        &mut self,
        answer: OwnAnswer,
        request_id: Option<&str>,
    ) -> io::Result<()> {
        let (headers, body) = answer.encode(request_id);
        let status = answer.status();
        let mut head = format!("HTTP/1.1 {status} {}\r\n{headers}", reason(status));
        self.end_head(&mut head, Some(body.len()));
        let body = if self.is_head { "" } else { &body };
        head.push_str(body);
        self.write(head.as_bytes()).await
    }

    /// Passes on a whole answer of an upstream.
    ///
    /// # Errors
    ///
    /// Where the caller has gone.
    pub async fn whole(
        &mut self,
        answer: &AnswerHead,
        body: &Bytes,
    ) -> io::Result<()> {
        let mut head = head_of(answer);
        let has_body = !matches!(answer.status, 204 | 304);
        if self.is_head {
            if let Some(length) = answer.headers.only("content-length") {
                let _infallible = write!(head, "Content-Length: {length}\r\n");
            }
            self.end_head(&mut head, None);
            return self.write(head.as_bytes()).await;
        }
        self.end_head(&mut head, has_body.then_some(body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Begins a stream with its first events.
    ///
    /// # Errors
    ///
    /// Where the caller has gone.
    pub async fn begin_stream(
        &mut self,
        answer: &AnswerHead,
        first: &[u8],
    ) -> io::Result<()> {
        let mut head = head_of(answer);
        if self.minor_version == 0 {
            // Chunks came with HTTP/1.1; before it an answer without a length ends with its connection.
            self.keeps = false;
        } else {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        self.end_head(&mut head, None);
        let mut bytes = head.into_bytes();
        self.add_chunk(&mut bytes, first);
        self.write(&bytes).await
    }

    /// Goes on with a stream.
    ///
    /// # Errors
    ///
    /// Where the caller has gone.
    pub async fn chunk(
        &mut self,
        data: &[u8],
    ) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(data.len() + 16);
        self.add_chunk(&mut bytes, data);
        self.write(&bytes).await
    }

    /// Ends a stream that is whole.
    ///
    /// # Errors
    ///
    /// Where the caller has gone.
    pub async fn end_stream(&mut self) -> io::Result<()> {
        match self.minor_version {
            0 => Ok(()),
            _ => self.write(b"0\r\n\r\n").await,
        }
    }

    fn end_head(
        &self,
        head: &mut String,
        length: Option<usize>,
    ) {
        if let Some(length) = length {
            let _infallible = write!(head, "Content-Length: {length}\r\n");
        }
        if !self.keeps {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
    }

    fn add_chunk(
        &self,
        bytes: &mut Vec<u8>,
        data: &[u8],
    ) {
        if self.minor_version == 0 {
            bytes.extend_from_slice(data);
        } else if !data.is_empty() {
            bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            bytes.extend_from_slice(data);
            bytes.extend_from_slice(b"\r\n");
        }
    }

    async fn write(
        &mut self,
        bytes: &[u8],
    ) -> io::Result<()> {
        self.has_begun = true;
        self.tx.write_all(bytes).await
    }
}

/// The status line of an upstream's answer and the headers that are passed on.
fn head_of(answer: &AnswerHead) -> String {
    let mut head = format!("HTTP/1.1 {} {}\r\n", answer.status, answer.reason);
    for (_, header) in answer.headers.end_to_end() {
        let value = String::from_utf8_lossy(&header.value);
        let _infallible = write!(head, "{}: {value}\r\n", header.name);
    }
    head
}

/// What stands beside the statuses that the daemon gives by itself.
const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
