//! Which VM should lead: when a leader hands over to one with more processor.

mod handover_policy;

pub use handover_policy::HandoverPolicy;
