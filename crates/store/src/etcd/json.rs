//! JSON messages of etcd v3: base64 keys and values, 64-bit numbers as strings, zeros omitted.

use {
    crate::store::{
        Compare, KeyValue, Op, Range, RangeReply, StoreError, Txn, TxnReply, WatchBatch, WatchEvent,
    },
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Deserializer},
    serde_json::{Value, json},
};

/// A 64-bit number, encoded as a JSON string or, by some servers, as a JSON number.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Int64(pub(super) u64);

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let number = match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse::<i64>().ok().map(|signed| signed as u64),
            Value::Number(number) => number.as_u64(),
            _ => None,
        };
        number
            .map(Self)
            .ok_or_else(|| serde::de::Error::custom("expected a 64-bit number"))
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Int64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Kv {
    key: String,
    value: String,
    create_revision: Int64,
    mod_revision: Int64,
    lease: Int64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    header: Header,
    kvs: Vec<Kv>,
    more: bool,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ResponseOp {
    response_range: RangeResponse,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<ResponseOp>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(super) id: Int64,
    #[serde(rename = "TTL")]
    pub(super) ttl: Int64,
}

/// The envelope of streamed responses, used by `keepalive` and `watch`.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct StreamResponse<T> {
    pub(super) result: T,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: Kv,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct WatchResponse {
    header: Header,
    canceled: bool,
    compact_revision: Int64,
    events: Vec<Event>,
}

/// Encodes a range as a request body or as part of a transaction.
pub(super) fn encode_range(range: &Range) -> Value {
    let mut body = json!({ "key": encode_base64(&range.start) });
    if let Some(end) = &range.end {
        body["range_end"] = encode_base64(end).into();
    }
    if range.limit > 0 {
        body["limit"] = range.limit.to_string().into();
    }
    body
}

/// Encodes the request body of a transaction.
pub fn encode_txn(txn: &Txn) -> Value {
    json!({
        "compare": txn.compare.iter().map(encode_compare).collect::<Vec<_>>(),
        "success": txn.success.iter().map(encode_op).collect::<Vec<_>>(),
        "failure": txn.failure.iter().map(encode_op).collect::<Vec<_>>(),
    })
}

/// Encodes the request body that opens a watch.
pub(super) fn encode_watch(
    range: &Range,
    from_revision: u64,
) -> Value {
    let mut create = encode_range(range);
    create["start_revision"] = from_revision.to_string().into();
    create["progress_notify"] = true.into();
    json!({ "create_request": create })
}

/// Decodes one line of a watch stream.
///
/// # Errors
///
/// [`StoreError::OutcomeUnknown`] if the line isn't a valid watch message.
pub fn decode_watch(line: &[u8]) -> Result<WatchBatch, StoreError> {
    let response = parse::<StreamResponse<WatchResponse>>(line)?.result;
    let events = response
        .events
        .iter()
        .map(decode_event)
        .collect::<Result<_, _>>()?;
    let compacted = match (response.canceled, response.compact_revision.0) {
        (false, 0) => None,
        (_, revision) => Some(revision),
    };
    Ok(WatchBatch {
        revision: response.header.revision.0,
        events,
        compacted,
    })
}

pub(super) fn decode_range(response: &RangeResponse) -> Result<RangeReply, StoreError> {
    Ok(RangeReply {
        revision: response.header.revision.0,
        kvs: response
            .kvs
            .iter()
            .map(decode_kv)
            .collect::<Result<_, _>>()?,
        more: response.more,
    })
}

pub(super) fn decode_txn(response: &TxnResponse) -> Result<TxnReply, StoreError> {
    let reads = response
        .responses
        .iter()
        .map(|op_response| decode_range(&op_response.response_range).map(|reply| reply.kvs))
        .collect::<Result<_, _>>()?;
    Ok(TxnReply {
        succeeded: response.succeeded,
        revision: response.header.revision.0,
        reads,
    })
}

pub(super) fn parse<T>(body: &[u8]) -> Result<T, StoreError>
where
    T: for<'de> Deserialize<'de>,
{
    serde_json::from_slice(body)
        .map_err(|e| StoreError::OutcomeUnknown(format!("invalid response: {e}")))
}

fn encode_compare(compare: &Compare) -> Value {
    match compare {
        Compare::Absent(key) => json!({
            "key": encode_base64(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0",
        }),
        Compare::Exists(key) => json!({
            "key": encode_base64(key), "target": "CREATE", "result": "GREATER", "create_revision": "0",
        }),
        Compare::ModRevision(key, revision) => json!({
            "key": encode_base64(key), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Value(key, value) => json!({
            "key": encode_base64(key), "target": "VALUE", "result": "EQUAL", "value": encode_base64(value),
        }),
    }
}

fn encode_op(op: &Op) -> Value {
    match op {
        Op::Put { key, value, lease } => {
            let mut put = json!({ "key": encode_base64(key), "value": encode_base64(value) });
            if let Some(lease) = lease {
                put["lease"] = (lease.0 as i64).to_string().into();
            }
            json!({ "request_put": put })
        }
        Op::Delete(range) => json!({ "request_delete_range": encode_range(range) }),
        Op::Get(range) => json!({ "request_range": encode_range(range) }),
    }
}

fn decode_event(event: &Event) -> Result<WatchEvent, StoreError> {
    let kv = decode_kv(&event.kv)?;
    match event.kind.as_str() {
        "DELETE" => Ok(WatchEvent::Delete(kv)),
        "" | "PUT" => Ok(WatchEvent::Put(kv)),
        other => Err(StoreError::OutcomeUnknown(format!(
            "watch event of unknown type {other:?}"
        ))),
    }
}

fn decode_kv(kv: &Kv) -> Result<KeyValue, StoreError> {
    let key = String::from_utf8(decode_base64(&kv.key)?)
        .map_err(|e| StoreError::OutcomeUnknown(format!("key is not valid UTF-8: {e}")))?;
    Ok(KeyValue {
        key,
        value: decode_base64(&kv.value)?,
        create_revision: kv.create_revision.0,
        mod_revision: kv.mod_revision.0,
        lease: kv.lease.0,
    })
}

fn encode_base64(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn decode_base64(text: &str) -> Result<Vec<u8>, StoreError> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|e| StoreError::OutcomeUnknown(format!("invalid base64: {e}")))
}
