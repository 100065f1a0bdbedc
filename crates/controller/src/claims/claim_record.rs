use {
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The longest answer that is kept for repeats, in bytes.
pub const MAX_ANSWER: usize = 64 * 1024;

/// How far a call with an idempotency key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It is running, or nobody knows how it ended.
    Running,
    /// Its answer follows the record.
    Done,
}

/// The record of an idempotency key in use.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request; another request under the same key is refused.
    pub fingerprint: Vec<u8>,
    /// Unique for each attempt to claim, so that a lost reply is settled by reading back.
    pub attempt: String,
    /// How far it has come.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// The value in the store: the record on one line, then the answer as it is.
    pub fn encode(
        &self,
        answer: &[u8],
    ) -> Vec<u8> {
        let mut value = serde_json::to_vec(self).unwrap_or_default();
        value.push(b'\n');
        value.extend_from_slice(answer);
        value
    }

    /// Reads a value from the store; `None` when it is no claim.
    pub fn decode(value: &[u8]) -> Option<(Self, Vec<u8>)> {
        let mut parts: VecDeque<&[u8]> = value.splitn(2, |&byte| byte == b'\n').collect();
        let record = serde_json::from_slice(parts.pop_front()?).ok()?;
        Some((record, parts.pop_front()?.to_vec()))
    }
}
