use {
    crate::upstream::ReadCharge,
    bytes::{Bytes, BytesMut},
};

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
    /// Bytes of `buf` that were searched for the end of an event.
    searched: usize,
    has_events: bool,
    /// What the partial event takes of the budget for answers; none if it isn't bounded.
    charge: Option<ReadCharge>,
}

impl EventSplitter {
    /// Creates a splitter whose partial event counts as buffered.
    pub fn new(charge: ReadCharge) -> Self {
        Self {
            charge: Some(charge),
            ..Self::default()
        }
    }

    /// Adds received data; returns false if an event exceeds the size limit, or all that is buffered the budget.
    pub fn push(
        &mut self,
        data: &[u8],
    ) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_EVENT && self.is_covered()
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = event_end(&self.buf, self.searched) else {
            self.searched = self.buf.len();
            // Covers no more than the last `push`, which has reported a refusal.
            let _is_covered = self.is_covered();
            return None;
        };
        self.searched = 0;
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

    /// Charges for the buffered data.
    fn is_covered(&mut self) -> bool {
        let len = self.buf.len();
        self.charge.as_mut().is_none_or(|charge| charge.cover(len))
    }
}

/// Finds the end of the first event in `buf`, whose first `searched` bytes contain none.
fn event_end(
    buf: &[u8],
    searched: usize,
) -> Option<usize> {
    let ends = (searched..buf.len()).filter(|&at| buf[at] == b'\n');
    let is_end = |line: &[u8]| line.ends_with(b"\n\n") || line.ends_with(b"\r\n\r\n");
    ends.map(|at| at + 1).find(|&end| is_end(&buf[..end]))
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
