//! How long to wait for what, and what may be repeated.

use jasmine_core::{
    clock::Millis,
    forward::{Delivery, ForwardPlan, Repeat},
};

/// The longest wait for the head of an engine's answer.
///
/// Engines send it when they take a request in. One that doesn't is dead or the connection is.
const ENGINE_HEAD_TIMEOUT: Millis = Millis(3_000);
/// The longest silence within an engine's stream; after it the stream is resumed over a new connection.
const ENGINE_PART_TIMEOUT: Millis = Millis(2_000);
/// Runs, and resumptions in a row without a token.
const MAX_ATTEMPTS: u32 = 3;
/// Bounds of the wait for a plain service.
const SERVICE_TIMEOUT_BOUNDS: (Millis, Millis) = (Millis(100), Millis(10_000));

/// The plan of a completion: running it twice does no harm, but what was streamed can't be unsaid.
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

/// The plan of a call of a plain service that may take `limit`.
///
/// An idempotent one is tried elsewhere after a third of its time, so that a dead connection doesn't use
/// up all of it.
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
