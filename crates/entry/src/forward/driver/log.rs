//! Log lines of requests and attempts.

use {
    super::Driver,
    crate::{
        forward::{failure::Failure, in_flight::InFlight},
        http1::Framing,
        scheduling::Placement,
    },
    jasmine_core::{
        clock::Millis,
        error::Refusal,
        ids::PartId,
        ingress::PromptPart,
        quarantine::{PromptEvidence, join_parts},
    },
    jasmine_telemetry::log::Line,
};

impl Driver<'_> {
    pub(super) fn log_sent(
        &self,
        placement: &Placement,
        number: u32,
    ) {
        let line = Line::new("request_sent")
            .with("id", self.req.id())
            .with("request", self.req.fingerprint_text())
            .with("upstream", &placement.upstream)
            .with("attempt", number)
            .with("version", placement.version.unwrap_or_default())
            .with("newest", self.newest_version())
            .with("build", placement.build.as_deref().unwrap_or("-"))
            .with(
                "after_event",
                self.progress.last_event.get().unwrap_or_default(),
            )
            .with("waited_ms", self.waited)
            .with("waited_for", self.waited_for.as_str())
            .with("decided_by", self.cx.scheduling.decider());
        match placement.expected_cost {
            Some(cost) => line.with("expected_ms", cost).info(),
            None => line.info(),
        }
    }

    pub(super) fn log_failed(
        &self,
        attempt: &InFlight,
        failure: &Failure,
        shows: PromptEvidence,
        can_retry: bool,
        now: Millis,
    ) {
        let trace = attempt.trace();
        Line::new("attempt_failed")
            .with("id", self.req.id())
            .with("request", self.req.fingerprint_text())
            .with("upstream", &attempt.placement.upstream)
            .with("outcome", format!("{:?}", failure.outcome))
            .with("broken", failure.is_broken)
            .with("ended", failure.has_upstream_ended)
            .with("shows", shows)
            .with("reused", trace.is_connection_reused)
            .with("framing", framing_name(trace.framing))
            .with("partial_bytes", trace.partial_bytes)
            .with("events", self.progress.events)
            .with("begun_ms", trace.received_for())
            .with("silent_ms", trace.silent_for(now))
            .with("received_bytes", trace.received_bytes)
            .with("stalled_ms", trace.stalled_for(now))
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("parts", part_names(&self.req.caller.parts))
            .with("again", can_retry)
            .info();
    }

    pub(super) fn log_given_up(
        &mut self,
        refusal: Refusal,
    ) {
        self.is_logged = true;
        let line = Line::new("request_given_up")
            .with("id", self.req.id())
            .with("request", self.req.fingerprint_text())
            .with("route", &self.req.route.name)
            .with("account", self.req.account.as_deref().unwrap_or("-"))
            .with("cost", self.req.cost)
            .with("kind", refusal.kind)
            .with("retry_after_ms", refusal.retry_after.map_or(0, |ms| ms.0))
            .with("decided_by", self.cx.scheduling.decider())
            .with("attempts", self.attempts.next_attempt() - 1)
            .with("config", self.req.config_version)
            .with("waited_ms", self.waited)
            .with("waited_for", self.waited_for.as_str())
            .with("took_ms", self.cx.clock.now().since(self.req.arrived))
            .with("events", self.progress.events);
        if refusal.kind.is_final() {
            let judged_by = self.cx.judged_by();
            self.cx.metrics.count_final(refusal.kind, &judged_by);
            judged_by
                .add_to(line.with("bytes", self.req.incoming.body.len()))
                .info();
        } else {
            line.info();
        }
    }

    /// Logs the end of a request.
    pub(super) fn log_end(
        &mut self,
        result: &str,
    ) {
        self.is_logged = true;
        let arrived = self.req.arrived;
        let first = self.progress.first_at.map(|at| at.since(arrived));
        Line::new("request_ended")
            .with("id", self.req.id())
            .with("route", &self.req.route.name)
            .with("account", self.req.account.as_deref().unwrap_or("-"))
            .with("cost", self.req.cost)
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("upstream", self.upstream.as_deref().unwrap_or("-"))
            .with("attempts", self.attempts.next_attempt())
            .with("config", self.req.config_version)
            .with("waited_ms", self.waited)
            .with("waited_for", self.waited_for.as_str())
            .with(
                "sent_ms",
                self.sent_at.map_or(Millis::ZERO, |at| at.since(arrived)),
            )
            .with("first_ms", first.unwrap_or_default())
            .with("took_ms", self.cx.clock.now().since(arrived))
            .with("events", self.progress.events)
            .with("framing", framing_name(self.framing))
            .with("partial_bytes", self.partial_bytes)
            .with("result", result)
            .info();
    }
}

/// The parts of a prompt in the log, in their order.
fn part_names(parts: &[PromptPart]) -> String {
    let parts: Vec<PartId> = parts.iter().map(|part| PartId::Part(part.id)).collect();
    join_parts(&parts, ",")
}

/// The name of a stream's framing in the log.
const fn framing_name(framing: Option<Framing>) -> &'static str {
    match framing {
        None => "-",
        Some(Framing::Empty) => "empty",
        Some(Framing::Length(_)) => "length",
        Some(Framing::Chunked) => "chunked",
        Some(Framing::UntilClose) => "until_close",
    }
}
