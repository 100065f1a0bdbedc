//! Encoding of requests to upstreams.

use {
    super::ForwardRequest,
    crate::{http1::Framing, scheduling::Placement},
    bytes::Bytes,
    jasmine_core::clock::Millis,
    jasmine_platform::headers::{
        UpstreamRequestHeaders, is_end_to_end, is_forwarded, is_last_event_id,
    },
    std::fmt::Write,
};

/// The longest body that is copied behind its head, so that both leave in one packet; longer ones would be held twice.
const MAX_COPIED_BYTES: usize = 64 << 10;

/// Encodes the head, and a short body behind it; returns a longer body by itself. `after_event` is the caller's last event of a stream that is resumed.
pub(super) fn encode_request(
    req: &ForwardRequest,
    placement: &Placement,
    after_event: Option<u64>,
    now: Millis,
) -> (Vec<u8>, Bytes) {
    let head = &req.incoming.head;
    let mut out = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (name, header) in head.headers.end_to_end(is_end_to_end) {
        let is_replaced = after_event.is_some() && is_last_event_id(&name);
        // The whole body has been read, so `Expect: 100-continue` is handled already.
        let is_expect = name == "expect";
        if is_forwarded(&name) && !is_replaced && !is_expect {
            let value = String::from_utf8_lossy(&header.value);
            let _infallible = write!(out, "{}: {value}\r\n", header.name);
        }
    }
    let system = UpstreamRequestHeaders {
        max_wait: req.deadline.since(now),
        upstream: &placement.upstream,
        account: req.account.as_deref(),
        version: placement.version,
        priority: req.is_generation.then_some(req.priority.min(9)),
        after_event,
    };
    system.write(&mut out);
    let body = &req.incoming.body;
    let had_length = head.headers.all("content-length").next().is_some();
    if !body.is_empty() || had_length || head.framing == Framing::Chunked {
        let _infallible = write!(out, "Content-Length: {}\r\n", body.len());
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    if body.len() > MAX_COPIED_BYTES {
        return (bytes, body.clone());
    }
    bytes.extend_from_slice(body);
    (bytes, Bytes::new())
}
