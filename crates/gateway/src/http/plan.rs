//! Timeouts and retries of completions and service calls.

use jasmine_core::{
    clock::Millis,
    forward::{Delivery, ForwardPlan, Repeat},
};

/// Timeout for the response head of an engine, which engines send on accepting a request.
const ENGINE_HEAD_TIMEOUT: Millis = Millis(3_000);
/// Timeout between parts of an engine's stream; the stream is then resumed over a new connection.
const ENGINE_PART_TIMEOUT: Millis = Millis(2_000);
/// Maximum number of runs, and of consecutive resumptions without a new token.
const MAX_ATTEMPTS: u32 = 3;
/// Minimum and maximum response timeout of a plain service.
const SERVICE_TIMEOUT_BOUNDS: (Millis, Millis) = (Millis(100), Millis(10_000));

/// Returns the plan of a completion, which can run again until a part has been streamed.
pub(super) const fn completion(
    deadline: Millis,
    stream: bool,
) -> ForwardPlan {
    ForwardPlan {
        repeat: Repeat::Idempotent,
        delivery: if stream {
            Delivery::Streamed
        } else {
            Delivery::Buffered
        },
        deadline,
        head_timeout: ENGINE_HEAD_TIMEOUT,
        part_timeout: ENGINE_PART_TIMEOUT,
        max_attempts: MAX_ATTEMPTS,
    }
}

/// Returns the plan of a call of a plain service with the time limit `limit`.
///
/// The timeout is a third of the limit, so that an idempotent call can be retried elsewhere.
pub(super) fn service(
    deadline: Millis,
    limit: Millis,
    is_idempotent: bool,
) -> ForwardPlan {
    let (min, max) = SERVICE_TIMEOUT_BOUNDS;
    let timeout = Millis(limit.0 / u64::from(MAX_ATTEMPTS)).clamp(min, max);
    ForwardPlan {
        repeat: if is_idempotent {
            Repeat::Idempotent
        } else {
            Repeat::Once
        },
        delivery: Delivery::Buffered,
        deadline,
        head_timeout: timeout,
        part_timeout: timeout,
        max_attempts: MAX_ATTEMPTS,
    }
}
