//! Idempotency keys: a claim is created in the store before the call starts.

mod claim_desk;
mod claim_record;

pub use {
    claim_desk::{ClaimDesk, ClaimOutcome},
    claim_record::{ClaimRecord, ClaimState, MAX_STORED_ANSWER_BYTES},
};
