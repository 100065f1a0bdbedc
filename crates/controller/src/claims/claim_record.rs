use {
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum size of an answer stored for retries, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;

/// The progress of a call with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The call is running, or its outcome is unknown.
    Running,
    /// The call has ended; its answer follows the record.
    Done,
}

/// The stored record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request; a different request with the same key is refused.
    pub fingerprint: Vec<u8>,
    /// Unique id of the claim attempt, which identifies it when read back after a lost reply.
    pub attempt: String,
    /// Progress of the call.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Encodes the stored value: the record as one line of JSON, then the raw answer.
    pub fn encode(
        &self,
        answer: &[u8],
    ) -> Vec<u8> {
        let mut value = serde_json::to_vec(self).unwrap_or_default();
        value.push(b'\n');
        value.extend_from_slice(answer);
        value
    }

    /// Decodes a stored value; `None` if it is not a claim.
    pub fn decode(value: &[u8]) -> Option<(Self, Vec<u8>)> {
        let mut parts: VecDeque<&[u8]> = value.splitn(2, |&byte| byte == b'\n').collect();
        let record = serde_json::from_slice(parts.pop_front()?).ok()?;
        Some((record, parts.pop_front()?.to_vec()))
    }
}
