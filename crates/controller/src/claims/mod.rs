//! Idempotency keys in use: a claim is created in the store before the call is begun.

mod claim_desk;
mod claim_record;

pub use {
    claim_desk::{ClaimDesk, ClaimOutcome},
    claim_record::{ClaimRecord, ClaimState, MAX_ANSWER},
};
