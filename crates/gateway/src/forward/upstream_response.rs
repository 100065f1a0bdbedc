use {
    super::BufferedAnswer,
    crate::{
        sse::{Chunk, Decoder},
        upstream::UpstreamResponse,
    },
    actix_web::http::{
        Method, StatusCode,
        header::{
            CONTENT_LENGTH, CONTENT_TYPE, ETAG, HeaderMap, HeaderName, LOCATION, TRANSFER_ENCODING,
        },
    },
    bytes::{Bytes, BytesMut},
    futures::StreamExt,
    jasmine_core::forward::Head,
    serde_json::Value,
};

/// Largest response of a plain service that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Largest error body that is parsed, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Response headers of a plain service that are forwarded to the caller.
const FORWARDED_HEADERS: [HeaderName; 3] = [CONTENT_TYPE, ETAG, LOCATION];

/// What the response of an upstream is checked against.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Id of the attempt.
    pub request_id: String,
    /// Weights that the engine must have used.
    pub weights: String,
    /// HTTP method; a response to `HEAD` has no body.
    pub method: Method,
}

/// An item of a streamed response.
#[derive(Debug)]
pub enum StreamItem {
    /// A chunk of the completion.
    Chunk(Chunk),
    /// The `[DONE]` event.
    Done,
    /// The stream ended early, is malformed, or belongs to another request.
    Broken,
}

/// Reads the event stream of an engine.
#[derive(Debug)]
pub struct StreamReader {
    response: UpstreamResponse,
    decoder: Decoder,
    request_id: String,
}

impl StreamReader {
    /// Creates a reader of `response`, the response to the attempt `request_id`.
    pub fn new(
        response: UpstreamResponse,
        request_id: String,
    ) -> Self {
        Self {
            response,
            decoder: Decoder::default(),
            request_id,
        }
    }

    /// Returns the next item; cancel safe.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            match self.decoder.next_event() {
                Ok(Some(event)) if event.data.trim() == "[DONE]" => return StreamItem::Done,
                Ok(Some(event)) => return self.chunk(&event),
                Ok(None) => {}
                Err(_) => return StreamItem::Broken,
            }
            match self.response.next().await {
                Some(Ok(bytes)) => self.decoder.feed(&bytes),
                // A stream must end with `[DONE]`.
                Some(Err(_)) | None => return StreamItem::Broken,
            }
        }
    }

    /// Parses a chunk; one of another request counts as a broken stream.
    fn chunk(
        &self,
        event: &crate::sse::Event,
    ) -> StreamItem {
        match Chunk::from_event(event) {
            Some(chunk) if chunk.request() == Some(&self.request_id) => StreamItem::Chunk(chunk),
            _ => StreamItem::Broken,
        }
    }
}

/// Classifies the response head of an engine; also returns the stream name, if any.
pub async fn engine_head(
    response: &mut UpstreamResponse,
    expected: &Expected,
    is_resume: bool,
) -> (Head, Option<String>) {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let echoed = header("x-request-id");
    let is_same_request = echoed == expected.request_id;
    let has_expected_weights = header("x-adapter") == expected.weights;
    let stream = Some(header("x-stream").to_owned()).filter(|name| is_valid_stream_name(name));
    let head = match response.status().as_u16() {
        200 if !is_same_request || !has_expected_weights => Head::WrongRequest,
        _ if !is_same_request && !echoed.is_empty() => Head::WrongRequest,
        200 => Head::Accepted {
            resumable: stream.is_some(),
        },
        404 if is_resume => Head::StreamGone,
        404 if error_code(response).await.as_deref() == Some("instance_not_loaded") => {
            Head::NotLoaded
        }
        429 | 503 => Head::Busy,
        400 | 413 | 422 => Head::Rejected,
        _ => Head::Failed,
    };
    (head, stream)
}

/// Classifies the response head of a plain service.
pub fn service_head(
    response: &UpstreamResponse,
    expected: &Expected,
) -> Head {
    match response.headers().get("x-request-id") {
        Some(echoed) if echoed.as_bytes() != expected.request_id.as_bytes() => Head::WrongRequest,
        _ if expected.method != Method::HEAD && !has_message_framing(response) => Head::Failed,
        _ => Head::Accepted { resumable: false },
    }
}

/// Whether a response has a length or chunked framing.
///
/// A body delimited by the end of the connection can't be distinguished from a truncated one, and
/// awc reads it as empty.
fn has_message_framing(response: &UpstreamResponse) -> bool {
    let headers = response.headers();
    let is_marked = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let status = response.status();
    is_marked || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

/// Reads the response of a plain service; `None` if it is truncated or too large.
pub async fn read_service_answer(
    mut response: UpstreamResponse,
    method: Method,
) -> Option<BufferedAnswer> {
    let status = response.status();
    let headers = forwarded_headers(response.headers());
    let content_length: Option<usize> = response
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let body = read_body(&mut response, MAX_ANSWER_BYTES).await?;
    let is_truncated =
        method != Method::HEAD && content_length.is_some_and(|length| length != body.len());
    (!is_truncated).then_some(BufferedAnswer {
        status,
        headers,
        body,
    })
}

async fn read_body(
    response: &mut UpstreamResponse,
    limit: usize,
) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = response.next().await {
        body.extend_from_slice(&part.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    Some(body.freeze())
}

async fn error_code(response: &mut UpstreamResponse) -> Option<String> {
    let body = read_body(response, MAX_ERROR_BYTES).await?;
    let json: Value = serde_json::from_slice(&body).ok()?;
    Some(json.get("error")?.get("code")?.as_str()?.to_owned())
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    forwarded
}

fn is_valid_stream_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    (1..=128).contains(&name.len()) && name.bytes().all(is_allowed)
}
