//! Sends requests of other VMs, which have lost their own links, to upstreams.

use {
    super::relay_header::{
        NotRelayed, RelayTarget, broken_answer, links_up, mark_relayed, take_fingerprint,
        take_target,
    },
    crate::{
        caller::{IncomingRequest, ResponseWriter},
        context::{Context, StopStage},
        http1::{BodyReader, Framing, ResponseHead},
        scheduling::GenerationSpec,
        upstream::{Awaited, Connection, ExchangeError, RequestTag, ResponseStart},
    },
    bytes::Bytes,
    jasmine_core::{clock::Millis, reachability::LinkStatus, streams::agreed_build},
    jasmine_platform::headers::{CallerHeaders, ResponseHeaders, is_misdirected},
    jasmine_telemetry::log::Line,
    std::{future::pending, io, net::SocketAddr},
    tokio::time::timeout,
};

/// Longest idle time of a connection to an upstream for another VM's request, which may be one that can't be repeated.
const MAX_IDLE: Millis = Millis(1_000);
/// How long after its deadline a request is given up whose VM has not closed the connection.
const DEADLINE_MARGIN: Millis = Millis(1_000);
/// Deadline of requests without one.
const DEFAULT_DEADLINE: Millis = Millis(60_000);

/// Sends a request of another VM to the upstream that it names, or tells whether this VM reaches upstreams.
///
/// The other VM has chosen the upstream and counts the request; what upstreams have stated to this VM holds here.
///
/// # Errors
///
/// If the other VM has disconnected, or the response was cut off.
pub async fn serve_relayed(
    cx: &Context,
    mut incoming: IncomingRequest,
    out: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    let Some(target) = take_target(&mut incoming.head) else {
        return answer_question(cx, out).await;
    };
    let fingerprint = take_fingerprint(&mut incoming.head);
    let target = RelayTarget::read(&target, fingerprint);
    let caller = CallerHeaders::read(incoming.head.headers.pairs());
    match connect(cx, target, &caller).await {
        Err(reason) => {
            Line::new("not_relayed")
                .with("id", caller.request_id.as_deref().unwrap_or("-"))
                .with("upstream", target.upstream)
                .with("reason", reason.as_str())
                .info();
            out.write_whole(&reason.response(), &Bytes::new()).await
        }
        Ok((connection, address)) => {
            cx.metrics.count_relayed("for_others");
            let relay = Relay {
                cx,
                upstream: target.upstream,
                address,
                incoming: &incoming,
                caller: &caller,
            };
            let relayed = timeout(time_left(&caller).to_std(), relay.run(connection, out)).await;
            relayed.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
        }
    }
}

/// Tells another VM whether this one reaches upstreams.
async fn answer_question(
    cx: &Context,
    out: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    let is_up = cx.stop_stage() == StopStage::Running
        && !cx.links.is_lost()
        && cx.links.after_silence().await == LinkStatus::Up;
    let response = if is_up {
        links_up()
    } else {
        NotRelayed::NoLinks.response()
    };
    out.write_whole(&response, &Bytes::new()).await
}

/// Connects to an upstream that this VM may send a request to.
async fn connect(
    cx: &Context,
    target: RelayTarget<'_>,
    caller: &CallerHeaders,
) -> Result<(Connection, SocketAddr), NotRelayed> {
    if cx.stop_stage() != StopStage::Running || cx.links.is_lost() {
        return Err(NotRelayed::NoLinks);
    }
    let scheduler = &cx.scheduling.local_scheduler;
    let generation = GenerationSpec::from_headers(caller);
    if scheduler.refuses(generation.as_ref(), target.fingerprint) {
        return Err(NotRelayed::Quarantined);
    }
    if is_version_expired(cx, caller) {
        return Err(NotRelayed::Unusable);
    }
    let known_build = scheduler.build_of(target.upstream);
    let is_other_build =
        target.build.is_some() && agreed_build(target.build, known_build.as_deref()).is_none();
    let address = scheduler
        .usable_address(target.upstream)
        .filter(|_| !is_other_build)
        .ok_or(NotRelayed::Unusable)?;
    if let Some(connection) = cx
        .pool
        .reuse(address, MAX_IDLE, Some(request_tag(cx, caller)))
    {
        return Ok((connection, address));
    }
    match cx.pool.open(address).await {
        Ok(connection) => Ok((connection, address)),
        Err(_) if cx.links.after_failure().await == LinkStatus::Lost => Err(NotRelayed::NoLinks),
        Err(_) => Err(NotRelayed::Unreachable),
    }
}

/// How long another VM's request may take.
fn time_left(caller: &CallerHeaders) -> Millis {
    caller.max_wait.unwrap_or(DEFAULT_DEADLINE) + DEADLINE_MARGIN
}

fn request_tag<'a>(
    cx: &Context,
    caller: &'a CallerHeaders,
) -> RequestTag<'a> {
    RequestTag {
        id: caller.request_id.as_deref(),
        repeatable_until: cx.clock.now() + time_left(caller),
    }
}

/// The base model and the adapter of a request for one.
fn adapter_names(caller: &CallerHeaders) -> Option<(&str, &str)> {
    Some((caller.model.as_deref()?, caller.adapter.as_deref()?))
}

/// Whether a request may no longer begin on the version that it requires.
fn is_version_expired(
    cx: &Context,
    caller: &CallerHeaders,
) -> bool {
    let until = adapter_names(caller).and_then(|(model, adapter)| {
        let scheduler = &cx.scheduling.local_scheduler;
        scheduler.version_usable_until(model, adapter, caller.version)
    });
    until.is_some_and(|until| until <= cx.clock.now())
}

/// One request of another VM.
struct Relay<'a> {
    cx: &'a Context,
    upstream: &'a str,
    address: SocketAddr,
    incoming: &'a IncomingRequest,
    caller: &'a CallerHeaders,
}

impl Relay<'_> {
    /// Sends the request and passes the response on; an incomplete one ends with the connection to the other VM.
    async fn run(
        &self,
        mut connection: Connection,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let cx = self.cx;
        let sent_at = cx.clock.now();
        let method = &self.incoming.head.method;
        let request = self.encode();
        let id = self.caller.request_id.as_deref();
        let awaited = Awaited::Request(request_tag(cx, self.caller));
        let exchange = connection.send_request(&request, method, awaited);
        let attended = tokio::select! {
            biased;
            attended = cx.links.attend(exchange, false) => attended,
            () = self.begin_expired() => {
                Line::new("relayed_withdrawn")
                    .with("id", id.unwrap_or("-"))
                    .with("upstream", self.upstream)
                    .with("version", self.caller.version.unwrap_or_default())
                    .info();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        };
        let Ok(response) = attended else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        let ResponseStart {
            mut head,
            is_request_sent,
        } = match response {
            Ok(response) => response,
            Err(ExchangeError::Invalid) => {
                return out.write_whole(&broken_answer(), &Bytes::new()).await;
            }
            Err(e @ ExchangeError::Lost) => return Err(io::Error::other(e)),
        };
        cx.links.note_heard();
        self.note_signals(&head, sent_at);
        let upstream_head = head.clone();
        mark_relayed(&mut head);
        if head.framing == Framing::Empty {
            out.write_whole(&head, &Bytes::new()).await?;
        } else {
            self.pass_body(&mut connection, &head, out).await?;
        }
        if is_request_sent {
            cx.pool.release(self.address, connection, &upstream_head);
        }
        Ok(())
    }

    /// Waits until the answer may no longer begin on the version that the request requires.
    async fn begin_expired(&self) {
        let scheduler = &self.cx.scheduling.local_scheduler;
        match adapter_names(self.caller) {
            Some((model, adapter)) => {
                let version = self.caller.version;
                scheduler.version_expired(model, adapter, version).await;
            }
            None => pending().await,
        }
    }

    async fn pass_body(
        &self,
        connection: &mut Connection,
        head: &ResponseHead,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        out.begin_stream(head, &[]).await?;
        let mut reader = BodyReader::new(head.framing);
        let mut is_empty = true;
        loop {
            let part = connection.body(&mut reader).await;
            match part.map_err(io::Error::other)? {
                Some(data) => {
                    self.cx.links.note_heard();
                    is_empty = false;
                    out.chunk(&data).await?;
                }
                // The chunked coding would end what the upstream may have broken off before its first byte.
                None if is_empty && head.framing == Framing::UntilClose => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => return out.end_stream().await,
            }
        }
    }

    /// Records what the upstream states about itself: it has told this VM.
    fn note_signals(
        &self,
        head: &ResponseHead,
        sent_at: Millis,
    ) {
        let headers = ResponseHeaders::read(head.status.code(), head.headers.pairs());
        let responder = headers.upstream.as_deref();
        let is_other =
            is_misdirected(head.status.code()) || responder.is_some_and(|id| id != self.upstream);
        if !is_other {
            let scheduling = &self.cx.scheduling;
            scheduling.note_signals(self.upstream, &headers.signals, sent_at);
        }
    }

    fn encode(&self) -> Vec<u8> {
        let IncomingRequest { head, body } = self.incoming;
        let mut out = format!("{} {} HTTP/1.1\r\n", head.method, head.target).into_bytes();
        for header in &head.headers.0 {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }
}
