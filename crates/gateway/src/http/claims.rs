//! Idempotency keys of calls that may not be repeated.
//!
//! A caller that got no answer can't know whether its call ran. It repeats the call with the same
//! `Idempotency-Key`, perhaps at another VM, perhaps while the first is still running. Only a record that every VM
//! sees keeps the second from running, and the platform's store is the only such place: the key is
//! claimed there, create-if-absent, before anything is sent.
//!
//! While the store is out no claim can be recorded. Ways weighed:
//!
//! - Run the call all the same. Nothing is refused, but a repeat at another VM, or at this one after a
//!   restart, runs it a second time: a phone is wiped mid-shift, a child's slot is taken. The outage is
//!   when answers get lost and callers repeat most.
//! - Remember claims on the VM and reach the others directly. Without the store nobody can say which VMs
//!   there are; one that is not reached may have run the call.
//! - Refuse with `claim_unavailable`, which is `not_run` and says when to come back. The caller waits, and
//!   nothing is done twice.
//!
//! The third is taken. Calls without an `Idempotency-Key` and idempotent ones go on as before, so an outage
//! refuses just the calls whose callers asked for this protection.
//!
//! A claim of a call that certainly didn't run is given back, so that the caller can come again with the
//! same key. One whose outcome isn't known stays: repeats get `claim_running`, which says so.

use {
    crate::{
        brain::{BrainHandle, ClaimRequest},
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

/// Bytes of an answer that is kept; a larger one isn't, and repeats get `claim_running`.
const MAX_STORED_BYTES: usize = 256 << 10;

/// An answer as it is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// The status.
    pub status: u16,
    /// Headers that were passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// The answer to be kept; none when it is too large.
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

    /// Reads an answer that was kept; none when it makes no sense.
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

/// The claim of a call under an idempotency key.
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

/// What becomes of a claim at the end of its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimDisposition {
    /// The answer is kept for repeats.
    Store(Arc<[u8]>),
    /// Nothing ran: the key may be used again.
    Release,
    /// Nobody knows, or the answer can't be kept: repeats get `claim_running`.
    Leave,
}

impl ClaimDisposition {
    /// What an ending means for the claim.
    pub(super) fn of(result: &ForwardResult) -> Self {
        match &result.answer {
            Some(answer) => StoredAnswer::encode(answer)
                .map_or(Self::Leave, |bytes| Self::Store(Arc::from(bytes))),
            None if result.may_have_run => Self::Leave,
            None => Self::Release,
        }
    }

    /// Records it.
    pub(super) async fn record(
        self,
        brain: &BrainHandle,
        claim: ClaimRequest,
    ) {
        let answer = match self {
            Self::Store(answer) => Some(answer),
            Self::Release => None,
            Self::Leave => return,
        };
        if !brain.finish_claim(claim, answer).await {
            Line::new("claim_not_recorded").warn();
        }
    }
}

/// The answer of the first run.
pub(super) fn replayed(stored: &[u8]) -> Result<BufferedAnswer, Problem> {
    let mut answer = StoredAnswer::decode(stored).ok_or(ErrorKind::ClaimUnavailable)?;
    answer.headers.insert(
        HeaderName::from_static("idempotency-replayed"),
        HeaderValue::from_static("true"),
    );
    Ok(answer)
}
