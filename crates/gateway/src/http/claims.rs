//! Idempotency keys of non-idempotent calls.
//!
//! A caller that gets no response retries its call with the same `Idempotency-Key`, possibly at another
//! VM and while the first attempt still runs. Before a call is sent, its key is claimed in the store of
//! the platform (create if absent), which all VMs share.
//!
//! While the store is unavailable, calls with a key are refused with `claim_unavailable` (`not_run`),
//! since a retry could otherwise run a call twice. Idempotent calls and calls without a key continue.
//!
//! The claim of a call that certainly did not run is released. If the outcome is unknown, the claim
//! stays and retries get `claim_running`.

use {
    crate::{
        coordinator::{ClaimRequest, CoordinatorHandle},
        forward::{BufferedAnswer, ForwardResult},
        request::{IdempotencyKey, Problem},
    },
    actix_web::http::{
        StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    jasmine_core::{error::ErrorKind, ids::AccountId},
    jasmine_telemetry::log::Line,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// Largest body that is stored, in bytes; retries of a call with a larger one get `claim_running`.
const MAX_STORED_BYTES: usize = 256 << 10;

/// A response stored for retries of the same call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Forwarded response headers.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Encodes a response for storage; `None` if it is too large.
    pub fn encode(answer: &BufferedAnswer) -> Option<Vec<u8>> {
        if answer.body.len() > MAX_STORED_BYTES {
            return None;
        }
        let headers = answer.headers.iter().filter_map(|(name, value)| {
            Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
        });
        serde_json::to_vec(&Self {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body: answer.body.to_vec(),
        })
        .ok()
    }

    /// Decodes a stored response; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<BufferedAnswer> {
        let stored: Self = serde_json::from_slice(bytes).ok()?;
        let mut headers = HeaderMap::new();
        for (name, value) in &stored.headers {
            headers.append(
                HeaderName::from_bytes(name.as_bytes()).ok()?,
                HeaderValue::from_str(value).ok()?,
            );
        }
        Some(BufferedAnswer {
            status: StatusCode::from_u16(stored.status).ok()?,
            headers,
            body: Bytes::from(stored.body),
        })
    }
}

/// Returns the claim of a call with an idempotency key.
pub(super) fn claim(
    key: &IdempotencyKey,
    account: AccountId,
    method: &str,
    service: &str,
    target: &str,
    body: &[u8],
) -> ClaimRequest {
    let mut digest = Sha256::new();
    for part in [
        method.as_bytes(),
        service.as_bytes(),
        target.as_bytes(),
        body,
    ] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    ClaimRequest {
        key: key.digest(account).to_vec(),
        fingerprint: digest.finalize().to_vec(),
    }
}

/// What happens to a claim when its call has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimDisposition {
    /// The response is stored for retries.
    Store(Arc<[u8]>),
    /// Nothing ran, so the key can be used again.
    Release,
    /// The outcome is unknown or the response is too large: retries get `claim_running`.
    LeaveOpen,
}

impl ClaimDisposition {
    /// Chooses the disposition for the result of a call.
    pub(super) fn of(result: &ForwardResult) -> Self {
        match &result.answer {
            Some(answer) => StoredAnswer::encode(answer)
                .map_or(Self::LeaveOpen, |bytes| Self::Store(Arc::from(bytes))),
            None if result.may_have_run => Self::LeaveOpen,
            None => Self::Release,
        }
    }

    /// Stores the response or releases the claim; a claim left open is not touched.
    pub(super) async fn record(
        self,
        coordinator: &CoordinatorHandle,
        claim: ClaimRequest,
    ) {
        let answer = match self {
            Self::Store(answer) => Some(answer),
            Self::Release => None,
            Self::LeaveOpen => return,
        };
        if !coordinator.finish_claim(claim, answer).await {
            Line::new("claim_not_recorded").warn();
        }
    }
}

/// Returns the stored response of the first run, marked as replayed.
pub(super) fn replayed(stored: &[u8]) -> Result<BufferedAnswer, Problem> {
    let mut answer = StoredAnswer::decode(stored).ok_or(ErrorKind::ClaimUnavailable)?;
    answer.headers.insert(
        HeaderName::from_static("idempotency-replayed"),
        HeaderValue::from_static("true"),
    );
    Ok(answer)
}
