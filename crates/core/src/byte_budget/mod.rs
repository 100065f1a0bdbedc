//! Bytes that a VM holds for its exchanges, and that each upstream holds of requests.

mod budget;
mod byte_claim;
mod byte_limits;
mod upstream_bytes;

pub(crate) use upstream_bytes::UpstreamBytes;
pub use {
    budget::{BudgetState, ByteBudget, ByteTicket, Denial, Grant},
    byte_claim::{ByteClaim, ByteUse},
    byte_limits::ByteLimits,
};
