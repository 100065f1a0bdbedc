//! Idempotency keys: a claim is created in the store before the call starts.

mod claim_record;
mod claim_store;

pub use {
    claim_record::{ClaimRecord, ClaimState, MAX_STORED_ANSWER_BYTES},
    claim_store::{ClaimOutcome, ClaimStore},
};
