//! The headers that one VM's request to another one has beyond those of the upstream's request.

use crate::http1::{Framing, Header, Headers, RequestHead, ResponseHead, Status};

/// First header of a request to a VM: the upstream that it is to be sent to and, after a space, its software version.
const TARGET: &str = "Jasmine-Upstream";
/// Second header of a request to a VM: the fingerprint of the request, in hexadecimal.
const FINGERPRINT: &str = "Jasmine-Request";
/// Set by the relaying VM on a response of the upstream.
const RELAYED: &str = "Jasmine-Relayed";
/// Set by the relaying VM on its response in place of a broken answer of the upstream.
const BROKEN_ANSWER: &str = "Jasmine-Broken-Answer";
/// Why the relaying VM sent nothing to the upstream.
const NOT_RELAYED: &str = "Jasmine-Not-Relayed";

/// Why a VM did not send a request for another one; nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRelayed {
    /// It has lost its own links, or is stopping.
    NoLinks,
    /// The upstream may get no request from it, or it doesn't know it.
    Unusable,
    /// It could not connect to this upstream.
    Unreachable,
    /// It refuses the prompt, as a part of it crashes upstreams.
    Quarantined,
}

impl NotRelayed {
    /// Its name in the header and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoLinks => "no_links",
            Self::Unusable => "unusable",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
        }
    }

    /// The response that says so.
    pub(super) fn response(self) -> ResponseHead {
        response_head(Status::SERVICE_UNAVAILABLE, NOT_RELAYED, self.as_str())
    }
}

/// The upstream that a request of another VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTarget<'a> {
    /// The upstream's id.
    pub upstream: &'a str,
    /// The version of its software, as the VM that chose it knows it.
    pub build: Option<&'a str>,
    /// Identifies the request over all attempts of its caller; 0 if that VM doesn't tell.
    pub fingerprint: u64,
}

impl<'a> RelayTarget<'a> {
    /// Inserts the headers with the target after the request line of an encoded request.
    pub fn add_to(
        self,
        request: &[u8],
    ) -> Vec<u8> {
        let line_end = request.windows(2).position(|two| two == b"\r\n");
        let (line, rest) = request.split_at(line_end.map_or(0, |at| at + 2));
        let build = self.build.unwrap_or_default();
        let header = format!(
            "{TARGET}: {} {build}\r\n{FINGERPRINT}: {:x}\r\n",
            self.upstream, self.fingerprint
        );
        [line, header.as_bytes(), rest].concat()
    }

    /// Reads the value of the first header.
    pub(super) fn read(
        value: &'a str,
        fingerprint: u64,
    ) -> Self {
        let (upstream, build) = value.split_once(' ').unwrap_or((value, ""));
        Self {
            upstream,
            build: Some(build.trim()).filter(|build| !build.is_empty()),
            fingerprint,
        }
    }
}

/// Removes the target's header from a received request and returns its value; none if its first header is another one.
///
/// Callers' headers come after it, so that they can't name a target.
pub(super) fn take_target(head: &mut RequestHead) -> Option<String> {
    let first = head.headers.0.first()?;
    if !first.name.eq_ignore_ascii_case(TARGET) {
        return None;
    }
    let value = head.headers.0.remove(0).value;
    String::from_utf8(value).ok()
}

/// Removes the header with the fingerprint from a received request whose target was taken, and returns it; 0 without one.
pub(super) fn take_fingerprint(head: &mut RequestHead) -> u64 {
    let next = head.headers.0.first();
    if !next.is_some_and(|header| header.name.eq_ignore_ascii_case(FINGERPRINT)) {
        return 0;
    }
    let value = head.headers.0.remove(0).value;
    let text = String::from_utf8_lossy(&value);
    u64::from_str_radix(text.trim(), 16).unwrap_or(0)
}

/// The answer of a VM that is asked whether it reaches the upstreams, and does.
pub(super) fn links_up() -> ResponseHead {
    response_head(Status::OK, RELAYED, "0")
}

/// The response that says that the upstream has sent a broken answer.
///
/// A VM of an earlier version takes it for an error response of the upstream.
pub(super) fn broken_answer() -> ResponseHead {
    let mut head = response_head(Status::BAD_GATEWAY, RELAYED, "1");
    head.headers.0.push(header(BROKEN_ANSWER, "1"));
    head
}

/// Marks a response as that of the upstream.
pub(super) fn mark_relayed(head: &mut ResponseHead) {
    for name in [RELAYED, NOT_RELAYED, BROKEN_ANSWER] {
        remove(&mut head.headers, name);
    }
    head.headers.0.push(header(RELAYED, "1"));
}

/// Removes the mark of a relayed response; false if the relaying VM wrote the response itself.
pub fn take_relayed_mark(head: &mut ResponseHead) -> bool {
    let is_relayed = head.headers.single(RELAYED) == Some("1");
    remove(&mut head.headers, RELAYED);
    is_relayed
}

/// Whether a relayed response stands for a broken answer of the upstream.
pub fn is_broken_answer(head: &ResponseHead) -> bool {
    head.headers.all(BROKEN_ANSWER).next().is_some()
}

/// Why a response was not relayed; one without a reason comes from a VM that could not read the request.
pub fn read_not_relayed(head: &ResponseHead) -> NotRelayed {
    let reasons = [
        NotRelayed::Unusable,
        NotRelayed::Unreachable,
        NotRelayed::Quarantined,
    ];
    let reason = head.headers.single(NOT_RELAYED);
    let known = reasons
        .into_iter()
        .find(|known| reason == Some(known.as_str()));
    known.unwrap_or(NotRelayed::NoLinks)
}

fn response_head(
    status: Status,
    name: &str,
    value: &str,
) -> ResponseHead {
    ResponseHead {
        status,
        reason: "Relay".to_owned(),
        headers: Headers(vec![header(name, value)]),
        framing: Framing::Empty,
        keeps_connection: true,
    }
}

fn header(
    name: &str,
    value: &str,
) -> Header {
    Header {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

fn remove(
    headers: &mut Headers,
    name: &str,
) {
    headers
        .0
        .retain(|header| !header.name.eq_ignore_ascii_case(name));
}
