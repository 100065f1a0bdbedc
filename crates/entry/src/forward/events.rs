use bytes::{Bytes, BytesMut};

/// The longest event taken, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// One event of a stream, with the empty line at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its id, if it names one.
    pub id: Option<u64>,
}

/// Takes a stream apart into whole events.
///
/// An upstream may stop in the middle of an event. Only whole ones are passed on, so that another upstream can
/// go on after the last of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Adds what has arrived; false where an event is longer than any should be.
    pub fn push(
        &mut self,
        data: &[u8],
    ) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// What is left after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|two| two == b"\n\n");
    let crlf = buf.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
