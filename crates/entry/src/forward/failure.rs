use {
    crate::http1::ResponseHead,
    bytes::Bytes,
    jasmine_core::{forward::AttemptEnd, scheduler::Outcome},
};

/// A failed attempt.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub outcome: Outcome,
    pub end: AttemptEnd,
    /// Whether the response broke off, or its connection did.
    pub is_broken: bool,
    /// Whether the upstream has ended, as far as its VM can see.
    pub has_upstream_ended: bool,
    /// The upstream's error response, forwarded if no attempt succeeds.
    pub response: Option<Box<(ResponseHead, Bytes)>>,
}

impl Failure {
    pub(super) const fn not_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::NotRun,
            is_broken: false,
            has_upstream_ended: false,
            response: None,
        }
    }

    pub(super) const fn may_have_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            is_broken: false,
            has_upstream_ended: false,
            response: None,
        }
    }

    pub(super) const fn broken(
        outcome: Outcome,
        has_upstream_ended: bool,
    ) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            is_broken: true,
            has_upstream_ended,
            response: None,
        }
    }
}
