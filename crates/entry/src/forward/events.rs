use bytes::{Bytes, BytesMut};

/// The longest event accepted, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// One server-sent event, including the empty line at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The raw bytes.
    pub bytes: Bytes,
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits a stream into complete server-sent events.
///
/// Only complete events are forwarded, so that another upstream can resume the stream after the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    has_events: bool,
}

impl EventSplitter {
    /// Adds received data; returns false if an event exceeds the size limit.
    pub fn push(
        &mut self,
        data: &[u8],
    ) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        self.has_events = true;
        Some(Event { bytes, id })
    }

    /// Whether there was a complete event.
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.buf.len()
    }
}

fn event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|two| two == b"\n\n");
    let crlf = buf.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
