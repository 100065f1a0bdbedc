/// Most bytes of one claim that counts as small.
///
/// Bodies and answers of usual callers have some kB. They have a part of their own, so that long ones delay none of them.
pub(super) const MAX_SMALL_BYTES: u64 = 64 << 10;

/// How many bytes a VM may hold for its exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// Long request bodies.
    pub requests: u64,
    /// Long answers, and what is read ahead of slow readers.
    pub answers: u64,
    /// Long answers of one upstream, and what is read ahead of slow readers.
    pub part: u64,
    /// Short bodies and answers.
    pub small: u64,
    /// One exchange.
    pub exchange: u64,
}

impl ByteLimits {
    /// Divides the bytes of a VM: a quarter for request bodies, a half for answers, a quarter for what is short.
    pub const fn new(
        vm: u64,
        exchange: u64,
    ) -> Self {
        Self {
            requests: vm / 4,
            answers: vm / 2,
            part: vm / 4,
            small: vm / 4,
            exchange,
        }
    }
}
