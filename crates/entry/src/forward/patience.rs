use {
    super::{ForwardRequest, response_trace::ResponseTrace},
    jasmine_core::clock::Millis,
};

/// Time without an answer after which a call that may be repeated is hedged, as a multiple of its latency objective.
const CALL_PATIENCE_OBJECTIVES: u64 = 2;
/// Time without an event after which a stream that may be repeated is hedged, in percent of its latency objective.
const STREAM_PATIENCE_PERCENT: u64 = 150;
/// Time without a further event after which a resumable stream is hedged, as a multiple of its gap objective.
const PATIENCE_GAPS: u64 = 5;
/// Gap objective of routes without one.
const DEFAULT_GAP_OBJECTIVE: Millis = Millis(500);

/// How long the upstreams of a request may be silent; any bytes that are no part of the answer are silence, too.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// Longest time without an answer, or without its first event, before a hedge is due.
    first: Millis,
    /// Longest time without a further event before a hedge is due.
    further: Millis,
    /// Longest time without a further event of one that isn't silent.
    gap: Millis,
}

impl Patience {
    pub(super) fn new(req: &ForwardRequest) -> Self {
        let route = &req.route;
        let gap = route.gap_objective.unwrap_or(DEFAULT_GAP_OBJECTIVE);
        let of_call = Millis(route.objective.0 * CALL_PATIENCE_OBJECTIVES);
        let of_stream = Millis(route.objective.0 * STREAM_PATIENCE_PERCENT / 100);
        let (first, further) = if req.is_stream() {
            (of_stream, Millis(gap.0 * PATIENCE_GAPS))
        } else {
            (of_call, of_call)
        };
        Self {
            first,
            further,
            gap,
        }
    }

    /// Time left until a hedge is due beside an attempt.
    pub(super) fn left(
        &self,
        trace: &ResponseTrace,
        now: Millis,
    ) -> Millis {
        let limit = match trace.event_at {
            None => self.first,
            Some(_) => self.further,
        };
        limit.since(trace.stalled_for(now))
    }

    /// Time left until an attempt counts as silent that has overtaken others.
    pub(super) fn gap_left(
        &self,
        trace: &ResponseTrace,
        now: Millis,
    ) -> Millis {
        self.gap.since(trace.stalled_for(now))
    }
}
