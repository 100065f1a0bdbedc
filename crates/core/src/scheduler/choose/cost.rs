//! Costs and penalties of an upstream, in milliseconds to the first token.

use {
    super::SelectionContext,
    crate::{
        clock::Millis,
        scheduler::{
            Generation, Job, cold_admission::COLD_WINDOW, engine::Engine,
            request_limit::LIMIT_WINDOW, request_load::Load, upstream::Upstream,
        },
    },
};

/// Penalty for an upstream in another data centre, for the cost of traffic between data centres.
///
/// For a prompt and its answer that is about a hundredth of what the answer is worth to the users.
const CROSS_DATA_CENTRE_PENALTY_MS: f64 = 15.0;
/// Bytes of a prompt and its answer, as headers and events carry them, per token.
const PROMPT_BYTES_PER_TOKEN: f64 = 5.0;
const ANSWER_BYTES_PER_TOKEN: f64 = 50.0;
/// Traffic that costs [`CROSS_DATA_CENTRE_PENALTY_MS`]: a prompt of 1,500 tokens with an answer of 150.
const TYPICAL_TRAFFIC_BYTES: f64 = 15_000.0;
/// Penalty at a failure rate of 1; it grows in proportion, as a failed request is lost or needs
/// another attempt.
const FAILURE_PENALTY_MS: f64 = 1_500.0;
/// Penalty for a late first token, besides its time.
///
/// A late answer loses two thirds of its worth.
const LATE_PENALTY_MS: f64 = 3_500.0;
/// Ratio of the expected wait to the time left until the objective, above which the lateness
/// penalty applies. It grows to its full value at `LATE_PENALTY_FULL_RATIO`; the range between
/// covers the error of the estimate.
///
/// That error is about a third.
const LATE_PENALTY_START_RATIO: f64 = 0.6;
const LATE_PENALTY_FULL_RATIO: f64 = 1.2;
/// Delay of the first token per request running on the engine, as each makes its batch steps
/// longer.
const PER_RUNNING_REQUEST_MS: f64 = 0.4;
/// Delay of later requests by one that joins a queue, as a part of its own wait there: the longer that is, the more come meanwhile.
///
/// Without it, fast engines at 0.8 load get queues while slow ones are idle: first tokens took 1.1 times as long.
pub(super) const LATER_PART: f64 = 1.0;
/// Penalty per running stream whose gap between tokens would exceed its objective.
///
/// Such a stream is late as if its first token were.
const STALL_PENALTY_MS: f64 = 250.0;
/// The stall penalty grows from none, where the unread prompts take this ratio of the gap
/// objective, to full, where they take all of it.
const STALL_START_RATIO: f64 = 0.6;
/// Penalty of an engine in a data centre that is being evacuated; it grows to this value until the
/// evacuation takes effect, so that adapters in demand are loaded elsewhere first.
const EVACUATION_PENALTY_MS: f64 = 2_500.0;

/// Bonus for an upstream with a request limit that got no request for a while: only a response tells
/// that the limit has ended.
const PROBE_BONUS_MS: f64 = 100.0;
/// Shortest time without a request after which an upstream gets that bonus.
const MIN_PROBE_INTERVAL: Millis = Millis(1_000);

impl SelectionContext<'_> {
    /// Penalty for data centre and recent failures, in milliseconds.
    pub(super) fn penalty(
        &self,
        job: &Job,
        up: &Upstream,
    ) -> f64 {
        let is_cross_data_centre = job.data_centre.is_some() && job.data_centre != up.data_centre;
        let distance = if is_cross_data_centre {
            self.distance_penalty(job)
        } else {
            0.0
        };
        distance + up.health.failure_rate(self.now) * FAILURE_PENALTY_MS + self.admission_delay(up)
    }

    /// Penalty for the traffic of a request to another data centre, in milliseconds; by its bytes where requests are placed by their
    /// expected finish.
    fn distance_penalty(
        &self,
        job: &Job,
    ) -> f64 {
        match job.generation() {
            Some(generation) if self.is_placed_by_finish(job) => {
                let prompt = f64::from(generation.size.prompt) * PROMPT_BYTES_PER_TOKEN;
                let answer = expected_output_tokens(generation) * ANSWER_BYTES_PER_TOKEN;
                CROSS_DATA_CENTRE_PENALTY_MS * (prompt + answer) / TYPICAL_TRAFFIC_BYTES
            }
            _ => CROSS_DATA_CENTRE_PENALTY_MS,
        }
    }

    /// Penalty for an evacuation of the upstream's data centre, in milliseconds.
    pub(super) fn evacuation_penalty(
        &self,
        up: &Upstream,
    ) -> f64 {
        let Some(effective_at) = up.evacuated_from else {
            return 0.0;
        };
        let left = effective_at.since(self.now).0 as f64;
        let whole = self.settings.evacuation.moving.0.max(1) as f64;
        EVACUATION_PENALTY_MS * (1.0 - left / whole).clamp(0.0, 1.0)
    }

    /// Whether the upstream's limits allow a request now, and it bears one if it is brittle.
    pub(super) fn is_admitted(
        &self,
        up: &Upstream,
    ) -> bool {
        let wait = self.fleet.cold_wait(up, self.now);
        wait == Some(Millis::ZERO)
            && self.is_within_request_limit(up)
            && self.fleet.has_room_while_brittle(up, self.now)
    }

    /// Whether the request limit that the upstream states allows a request now.
    pub(super) fn is_within_request_limit(
        &self,
        up: &Upstream,
    ) -> bool {
        self.fleet.request_limit_wait(up, self.now) == Some(Millis::ZERO)
    }

    /// Penalty for the limits of the upstream, in milliseconds: the time until they allow a request,
    /// and that between two requests of its request limit, which others wait for.
    fn admission_delay(
        &self,
        up: &Upstream,
    ) -> f64 {
        let cold = self.fleet.cold_wait(up, self.now).unwrap_or(COLD_WINDOW);
        let limit = self.fleet.request_limit_wait(up, self.now);
        match limit.unwrap_or(LIMIT_WINDOW) {
            Millis::ZERO if is_probe_due(up, self.now) => cold.0 as f64 - PROBE_BONUS_MS,
            Millis::ZERO => cold.0 as f64,
            wait => wait.max(cold).0 as f64 + request_interval(up),
        }
    }

    /// Expected time to the first token on an engine that has the adapter loaded, in milliseconds.
    pub(super) fn first_token_ms(
        &self,
        job: &Job,
        engine: &Engine,
    ) -> f64 {
        let prefill_tokens = Load::of(job, engine, self.now).prefill_tokens;
        engine.backlog.wait(self.now) + engine.backlog.time_for(prefill_tokens, self.now)
    }

    /// The cost of an engine in milliseconds if it had the adapter loaded.
    pub(super) fn base_cost(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> f64 {
        let prefill_ms = self.first_token_ms(job, engine);
        prefill_ms
            + stall_penalty(job, up, engine, prefill_ms)
            + self.running_beside(up) * PER_RUNNING_REQUEST_MS * pace_factor(up, self.now)
            + self.penalty(job, up)
    }

    /// Delay of later requests by one more prompt on an engine with a backlog, in milliseconds.
    pub(super) fn delay_of_later(
        &self,
        job: &Job,
        engine: &Engine,
    ) -> f64 {
        if self.is_placed_by_finish(job) {
            engine.backlog.wait(self.now) * LATER_PART
        } else {
            0.0
        }
    }

    /// Penalty for the risk that a first token after `wait` milliseconds is late, in milliseconds.
    pub(super) fn lateness_penalty(
        &self,
        job: &Job,
        wait: f64,
    ) -> f64 {
        let remaining = job.objective.since(self.now).0 as f64;
        let (start, full) = (
            remaining * LATE_PENALTY_START_RATIO,
            remaining * LATE_PENALTY_FULL_RATIO,
        );
        LATE_PENALTY_MS * ((wait - start) / (full - start).max(1.0)).clamp(0.0, 1.0)
    }
}

/// Tokens that a generation is expected to write, by its caller's hint or half of its stated maximum.
fn expected_output_tokens(generation: &Generation) -> f64 {
    let stated = generation.size.output;
    let hint = generation.length_hint.unwrap_or(stated / 2);
    f64::from(hint.min(stated))
}

/// How long work takes on an upstream now, relative to its service.
fn pace_factor(
    up: &Upstream,
    now: Millis,
) -> f64 {
    let forecast = up.statements.forecast.as_ref();
    forecast.map_or(1.0, |forecast| forecast.factor(now))
}

/// Whether an upstream with a request limit has got no request for a while.
fn is_probe_due(
    up: &Upstream,
    now: Millis,
) -> bool {
    let interval = MIN_PROBE_INTERVAL.max(Millis(request_interval(up) as u64));
    let wait = up.statements.admissions.wait(1, interval, now);
    up.statements.request_limit.is_some() && wait == Some(Millis::ZERO)
}

/// Time between two requests of the request limit that an upstream states, in milliseconds; zero
/// without a limit.
pub(super) fn request_interval(up: &Upstream) -> f64 {
    let limit = up.statements.request_limit;
    limit.map_or(0.0, |limit| {
        (1_000.0 / limit.per_second).min(LIMIT_WINDOW.0 as f64)
    })
}

/// Penalty for delaying the tokens of the streams running on an engine, in milliseconds;
/// `prefill_ms` is the time for all unread prompts including this one.
///
/// Engines process prompts in chunks between decode steps, so a long run of prompts stretches the
/// gap between the tokens of every running stream.
fn stall_penalty(
    job: &Job,
    up: &Upstream,
    engine: &Engine,
    prefill_ms: f64,
) -> f64 {
    let Some(gap) = job.gap_objective else {
        return 0.0;
    };
    let gap = gap.0 as f64;
    let from = gap * STALL_START_RATIO;
    let share = ((prefill_ms - from) / (gap - from).max(1.0)).clamp(0.0, 1.0);
    let streams = up.running.saturating_sub(engine.backlog.len() as u32);
    share * f64::from(streams) * STALL_PENALTY_MS
}
