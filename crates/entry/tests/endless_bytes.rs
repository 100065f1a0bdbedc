//! Readers of bytes that never become an answer or an event.

use {
    bytes::BytesMut,
    jasmine_entry::{
        forward::EventSplitter,
        http1::{BodyPart, BodyReader, Framing},
    },
    nix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Processor time that a reader may take for bytes up to its limit; a search from the start at each read takes seconds.
const MAX_CPU: Duration = Duration::from_millis(400);

fn cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .unwrap()
        .into()
}

#[test]
fn an_endless_event_costs_little() {
    // Guards against a search of the whole partial event at each read, which holds up all other callers.
    let mut splitter = EventSplitter::default();
    let begun = cpu_time();
    let mut pushed = 0;
    while splitter.push(&[b'a'; 128]) {
        assert_eq!(splitter.next_event(), None);
        pushed += 128;
    }
    assert_eq!(pushed, 1 << 20);
    assert!(cpu_time() - begun < MAX_CPU, "{:?}", cpu_time() - begun);
}

#[test]
fn many_events_in_a_read_cost_little() {
    // Guards against a search up to the end of the data for each of its events.
    let mut splitter = EventSplitter::default();
    let begun = cpu_time();
    assert!(splitter.push(&b"data:a\n\n".repeat(16 << 10)));
    let mut events = 0;
    while splitter.next_event().is_some() {
        events += 1;
    }
    assert_eq!(events, 16 << 10);
    assert!(cpu_time() - begun < MAX_CPU, "{:?}", cpu_time() - begun);
}

#[test]
fn events_end_alike_in_pieces() {
    // Guards against an end of an event that is missed as it arrives in several reads.
    for stream in [
        "id:1\ndata:a\n\nid:2\r\ndata:b\r\n\r\nid:3\n\r\n\n",
        "\n\n\r\n\r\n\r\n\n\n",
    ] {
        let mut whole = EventSplitter::default();
        assert!(whole.push(stream.as_bytes()));
        let expected: Vec<_> = std::iter::from_fn(|| whole.next_event()).collect();
        let mut pieces = EventSplitter::default();
        let mut events = Vec::new();
        for byte in stream.bytes() {
            assert!(pieces.push(&[byte]));
            events.extend(std::iter::from_fn(|| pieces.next_event()));
        }
        assert_eq!(events, expected);
        assert_eq!(pieces.partial_len(), whole.partial_len());
    }
}

#[test]
fn endless_trailers_cost_little() {
    // Guards against a search of the whole line at each read of a trailer that never ends.
    let begun = cpu_time();
    for _ in 0..8 {
        let mut reader = BodyReader::new(Framing::Chunked);
        let mut buf = BytesMut::from(&b"0\r\n"[..]);
        let mut read = 0;
        while reader.next(&mut buf) == Ok(BodyPart::NeedMore) {
            buf.extend_from_slice(b"a");
            read += 1;
        }
        assert_eq!(read, (8 << 10) + 1);
    }
    assert!(cpu_time() - begun < MAX_CPU, "{:?}", cpu_time() - begun);
}
