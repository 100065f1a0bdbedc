//! Readers of bytes that never become an answer or an event.

use {
    bytes::BytesMut,
    jasmine_entry::{
        forward::EventSplitter,
        http1::{BodyPart, BodyReader, Framing, HeadScanner, HttpError, parse_response_head},
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
    assert!(
        cpu_time().saturating_sub(begun) < MAX_CPU,
        "{:?}",
        cpu_time().saturating_sub(begun)
    );
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
    assert!(
        cpu_time().saturating_sub(begun) < MAX_CPU,
        "{:?}",
        cpu_time().saturating_sub(begun)
    );
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
    assert!(
        cpu_time().saturating_sub(begun) < MAX_CPU,
        "{:?}",
        cpu_time().saturating_sub(begun)
    );
}

#[test]
fn an_endless_header_costs_little() {
    // Guards against a search of the whole head at each read, up to its limit of 64 KiB.
    let mut buf = BytesMut::from(&b"HTTP/1.1 200 OK\r\nX-Babble: "[..]);
    let begun = cpu_time();
    let mut scanner = HeadScanner::default();
    while parse_response_head(&buf, "GET", &mut scanner) == Ok(None) {
        buf.extend_from_slice(&[b'a'; 16]);
    }
    assert!(buf.len() > 64 << 10);
    assert!(
        cpu_time().saturating_sub(begun) < MAX_CPU,
        "{:?}",
        cpu_time().saturating_sub(begun)
    );
}

#[test]
fn heads_end_alike_in_pieces() {
    // Guards against a bare CR or LF, or an end of a head, that is missed as it arrives in several reads.
    let max = 24;
    for (head, expected) in [
        ("GET / HTTP/1.1\r\n\r\n", Ok(Some(18))),
        ("\r\n\r\nGET / HTTP/1.1", Ok(Some(4))),
        ("GET / HTTP/1.1\r\nA: b\r\n", Ok(None)),
        ("GET / HTTP/1.1\r\nA: b\r\n\r\n", Ok(Some(24))),
        (
            "GET / HTTP/1.1\r\nA: bc\r\n\r\n",
            Err(HttpError::HeadTooLarge),
        ),
        ("GET / HTTP/1.1\nA: b\r\n\r\n", Err(HttpError::Malformed)),
        ("GET / HTTP/1.1\r\nA:\rb", Err(HttpError::Malformed)),
        ("GET / HTTP/1.1\r\nA: bc\r\n\r", Ok(None)),
        ("GET / HTTP/1.1\r\nA: bcde\r!", Err(HttpError::Malformed)),
        ("\nGET", Err(HttpError::Malformed)),
        ("GET / HTTP/1.1\r", Ok(None)),
    ] {
        let whole = HeadScanner::default().head_len(head.as_bytes(), max);
        assert_eq!(whole, expected, "{head:?}");
        let mut scanner = HeadScanner::default();
        let pieces = (1..=head.len()).map(|len| scanner.head_len(&head.as_bytes()[..len], max));
        let first = pieces.into_iter().find(|piece| *piece != Ok(None));
        assert_eq!(first.unwrap_or(Ok(None)), expected, "{head:?} in pieces");
    }
}
