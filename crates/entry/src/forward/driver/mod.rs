use {
    super::{
        ForwardRequest, STOPPING_RETRY_DELAY,
        attempt::{Via, age_text},
        failure::Failure,
        hedge::{RETRY_INTERVAL, place},
        in_flight::{AttemptSetup, InFlight},
        patience::Patience,
        piece::{AttemptError, Piece},
        progress::Progress,
        race::{Race, found, next_of},
        request::AttemptSpec,
    },
    crate::{
        caller::{ErrorResponse, ResponseWriter},
        context::{Context, StopStage},
        http1::{Framing, ResponseHead},
        links::LinksLost,
        scheduling::{Placement, PlacementError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::Attempts,
        quarantine::{AnswerEnd, AttemptEvidence, RequestEvidence},
        scheduler::{Outcome, WaitReason},
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

mod forwarding;
mod log;
mod rivals;

/// Delay before the retry of a request that an upstream didn't run because its adapter isn't loaded yet.
const NOT_RUN_RETRY_DELAY: Millis = Millis(15);

/// `Retry-After` while neither this VM nor another one reaches an upstream.
const ISOLATED_RETRY_DELAY: Millis = Millis(1_000);

/// How often an answer that has begun checks whether an upstream is reached again.
const REACHABILITY_CHECK_INTERVAL: Millis = Millis(100);

/// What follows an attempt.
enum Step {
    /// The caller has its response or has disconnected.
    Done(io::Result<()>),
    /// The request is sent again.
    Retry,
    /// The request fails with this error.
    Fail(ErrorKind),
}

/// What happens while attempts are in flight.
enum Event {
    /// The answer of the current one goes on, or it has failed.
    Piece(Result<Piece, AttemptError>),
    /// The same of a rival.
    Rival(usize, Result<Piece, AttemptError>),
    /// An upstream was found for a hedge.
    Found(Placement),
    /// The upstream is silent for too long, or the links of this VM are lost.
    Overdue { are_links_lost: bool },
    /// What was overtaken has stood by for its time.
    StandbyOver,
    /// The current attempt, which has overtaken others, is silent.
    Stalled,
    /// The links are up again.
    LinksRestored,
    /// The deadline has passed.
    Expired,
}

/// Drives one request from its arrival to its final response, over several attempts.
pub(super) struct Driver<'a> {
    cx: &'a Rc<Context>,
    req: Rc<ForwardRequest>,
    attempts: Attempts,
    /// Upstreams that have failed the request.
    failed_upstreams: Vec<String>,
    /// Upstreams that have turned the request away, and may take it later.
    full_upstreams: Vec<String>,
    /// Upstreams that were given up only because another one went on.
    overtaken_upstreams: Vec<String>,
    /// VMs to which the request has been offered.
    tried_relays: Rc<RefCell<Vec<SocketAddr>>>,
    progress: Progress,
    patience: Patience,
    /// Whether some attempt in flight couldn't go on after the first events of another one.
    is_contested: Rc<Cell<bool>>,
    /// Whether a hedge may be sent, as far as earlier ones say.
    may_hedge: bool,
    /// The last error response of an upstream, forwarded if no attempt succeeds.
    upstream_error: Option<Box<(ResponseHead, Bytes)>>,
    /// Total time spent waiting for placement.
    waited: Millis,
    /// The main reason for the last attempt's wait.
    waited_for: WaitReason,
    /// When the last attempt was sent.
    sent_at: Option<Millis>,
    /// The upstream of the last attempt.
    upstream: Option<String>,
    /// How the end of the last response's body is determined.
    framing: Option<Framing>,
    /// Bytes received after the last complete event of the last response.
    partial_bytes: usize,
    /// Whether the end of the request was logged.
    is_logged: bool,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        cx: &'a Rc<Context>,
        req: ForwardRequest,
    ) -> Self {
        let attempts = Attempts::new(req.route.kind.repeat(), req.route.attempts);
        Self {
            cx,
            attempts,
            failed_upstreams: Vec::new(),
            full_upstreams: Vec::new(),
            overtaken_upstreams: Vec::new(),
            tried_relays: Rc::default(),
            patience: Patience::new(&req),
            progress: Progress {
                last_event: Rc::new(Cell::new(req.caller.last_event)),
                ..Progress::default()
            },
            is_contested: Rc::default(),
            may_hedge: true,
            upstream_error: None,
            waited: Millis::ZERO,
            waited_for: WaitReason::Turn,
            sent_at: None,
            upstream: None,
            framing: None,
            partial_bytes: 0,
            is_logged: false,
            req: Rc::new(req),
        }
    }

    /// Serves the request; one that still runs when the daemon is about to exit gets a response that says so.
    pub(super) async fn run(
        mut self,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let cx = Rc::clone(self.cx);
        tokio::select! {
            biased;
            served = self.serve(out) => return served,
            () = cx.stop_reached(StopStage::Ending) => {}
        }
        let refusal = match self.sent_at {
            Some(_) => Refusal::new(ErrorKind::UpstreamLost),
            None => Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY),
        };
        self.give_up(refusal, out).await
    }

    async fn serve(
        &mut self,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        if self.req.is_resumption() {
            self.find_origin().await;
            if !self.progress.origin.is_resumable() {
                let refusal = Refusal::new(ErrorKind::StreamNotResumable);
                return self.give_up(refusal, out).await;
            }
        }
        loop {
            if !self.is_reachable().await {
                let refusal = Refusal::after(ErrorKind::NoUpstream, ISOLATED_RETRY_DELAY);
                return self.give_up(refusal, out).await;
            }
            let queued_at = self.cx.clock.now();
            let placement_result = self.place().await;
            self.waited += self.cx.clock.now().since(queued_at);
            let placement = match placement_result {
                Ok(placement) if !self.is_allowed(&placement) => {
                    // A leader of an earlier version doesn't know the bound.
                    sleep(RETRY_INTERVAL.to_std().min(self.time_left())).await;
                    continue;
                }
                Ok(placement) => placement,
                Err(placement_error) if self.outlasts(&placement_error) => {
                    sleep(RETRY_INTERVAL.to_std().min(self.time_left())).await;
                    continue;
                }
                Err(placement_error)
                    if let Some(delay) = self.rate_delay(placement_error.refusal) =>
                {
                    sleep(delay.to_std()).await;
                    self.waited += delay;
                    continue;
                }
                Err(placement_error) => {
                    self.waited_for = placement_error.waited_for;
                    return self.give_up(placement_error.refusal, out).await;
                }
            };
            let number = self.attempts.next_attempt();
            let attempt = self.send(placement, number, false);
            match self.follow(attempt, out).await {
                Step::Done(result) => {
                    let outcome = if result.is_ok() {
                        "answered"
                    } else {
                        "caller_gone"
                    };
                    self.log_end(outcome);
                    return result;
                }
                Step::Retry => {}
                Step::Fail(kind) => return self.give_up(Refusal::new(kind), out).await,
            }
        }
    }

    /// Whether an answer that has begun waits for another upstream, although none takes it now.
    fn outlasts(
        &self,
        placement_error: &PlacementError,
    ) -> bool {
        let is_final = matches!(
            placement_error.refusal.kind,
            ErrorKind::PromptQuarantined | ErrorKind::RequestQuarantined
        );
        self.progress.first_at.is_some() && !is_final && !self.is_expired()
    }

    /// How long a resumption waits for its account's rate, if that is before its deadline: its caller has part of the
    /// answer, and may not come back once more.
    fn rate_delay(
        &self,
        refusal: Refusal,
    ) -> Option<Millis> {
        let left = self.req.deadline.since(self.cx.clock.now());
        let waits = self.req.is_resumption() && refusal.kind == ErrorKind::RateLimited;
        refusal.retry_after.filter(|&delay| waits && delay < left)
    }

    fn is_expired(&self) -> bool {
        self.cx.clock.now() >= self.req.deadline
    }

    /// Time left until the deadline.
    fn time_left(&self) -> Duration {
        self.req.deadline.since(self.cx.clock.now()).to_std()
    }

    /// Looks up where the stream began that the caller resumes.
    async fn find_origin(&mut self) {
        let caller = &self.req.caller;
        let origins = &self.cx.origins;
        let lookup = origins
            .look_up(caller.resumes.as_deref(), &self.req.service)
            .await;
        let recorded = lookup.recorded.as_ref();
        let line = Line::new("resumption_requested")
            .with("id", self.req.id())
            .with("resumes", caller.resumes.as_deref().unwrap_or("-"))
            .with("after_event", caller.last_event.unwrap_or_default())
            .with(
                "recorded",
                recorded
                    .and_then(|origin| origin.build.as_deref())
                    .unwrap_or("-"),
            )
            .with("service", recorded.map_or("-", |origin| &origin.service))
            .with("asked", lookup.asked)
            .with("answered", lookup.answered)
            .with("none_stored", lookup.is_none_stored);
        let is_recorded = lookup.recorded.is_some();
        let own = || self.cx.scheduling.known_builds(&self.req.service);
        let known = if is_recorded {
            own()
        } else {
            origins.confirmed_builds(&self.req.service, own).await
        };
        let line = line
            .with("known_ms", age_text(known.complete_for))
            .with("confirmed", known.is_confirmed);
        let origin = lookup.conclude(&self.req.service, known);
        self.cx
            .metrics
            .count_resumption(match origin.required_build() {
                Some(_) if is_recorded => "recorded",
                Some(_) => "only_build",
                None => "unknown",
            });
        line.with("build", origin.required_build().unwrap_or("-"))
            .info();
        self.progress.origin = origin;
    }

    /// Whether any upstream can be reached; an answer that has begun waits for one until its deadline.
    async fn is_reachable(&self) -> bool {
        let links = &self.cx.links;
        let allowed = &self.req.allowed_data_centres;
        while self.progress.first_at.is_some()
            && !links.can_send(allowed)
            && self.cx.clock.now() < self.req.deadline
        {
            sleep(REACHABILITY_CHECK_INTERVAL.to_std()).await;
        }
        !links.is_isolated()
    }

    /// Waits for placement of the next attempt.
    async fn place(&self) -> Result<Placement, PlacementError> {
        let excluded_upstreams = [&self.failed_upstreams[..], &self.full_upstreams[..]].concat();
        let attempt = AttemptSpec {
            number: self.attempts.next_attempt(),
            excluded_upstreams: &excluded_upstreams,
            allowed_upstreams: self.allowed_upstreams(),
            build: self.progress.origin.required_build(),
            has_begun: self.progress.first_at.is_some(),
            is_hedge: false,
        };
        place(self.cx, &self.req, &attempt).await
    }

    /// The only upstreams that may get the request, as its attempts are used up; empty if any may.
    fn allowed_upstreams(&self) -> &[String] {
        if self.attempts.can_run_beside(0) {
            &[]
        } else {
            &self.overtaken_upstreams
        }
    }

    fn is_allowed(
        &self,
        placement: &Placement,
    ) -> bool {
        let allowed = self.allowed_upstreams();
        allowed.is_empty() || allowed.contains(&placement.upstream)
    }

    /// Sends an attempt.
    fn send(
        &mut self,
        placement: Placement,
        number: u32,
        is_hedge: bool,
    ) -> InFlight {
        self.waited_for = placement.waited_for;
        self.sent_at = Some(self.cx.clock.now());
        self.upstream = Some(placement.upstream.clone());
        self.log_sent(&placement, number);
        let has_events = self.progress.events > 0;
        let setup = AttemptSetup {
            cx: Rc::clone(self.cx),
            req: Rc::clone(&self.req),
            tried_relays: Rc::clone(&self.tried_relays),
            after_event: self.progress.last_event.get().filter(|_| has_events),
            last_event: Rc::clone(&self.progress.last_event),
            can_retry: self.attempts.can_run_beside(1),
            is_contested: Rc::clone(&self.is_contested),
        };
        InFlight::new(setup, placement, is_hedge)
    }

    /// Forwards the answer of an attempt, or of its hedges, until its end.
    async fn follow(
        &mut self,
        attempt: InFlight,
        out: &mut ResponseWriter<'_>,
    ) -> Step {
        let mut race = Race::new(attempt);
        let mut are_links_lost = false;
        loop {
            self.is_contested.set(self.is_contested(&race));
            match self.next_event(&mut race, are_links_lost).await {
                Event::Piece(Ok(Piece::Begun)) | Event::Stalled => {}
                Event::Rival(number, Ok(Piece::Begun)) => self.note_begun(&mut race, number),
                Event::Piece(Ok(piece)) if is_usable(&piece, out) => {
                    if let Some(step) = self.go_on(&mut race, piece, out).await {
                        return step;
                    }
                }
                Event::Piece(end) => {
                    let e = failure_of(end);
                    if self.is_expired() {
                        self.end_rivals(&mut race);
                    }
                    match race.fall_back(self.req.is_generation) {
                        Some(failed) => self.end_side(&failed, e),
                        None => return self.end_attempt(&race.current, e).await,
                    }
                }
                Event::Rival(number, Ok(piece)) if is_usable(&piece, out) => {
                    race.promote(number);
                    if let Some(step) = self.go_on(&mut race, piece, out).await {
                        return step;
                    }
                }
                Event::Rival(number, end) => {
                    let failed = race.rivals.remove(number);
                    self.end_side(&failed, failure_of(end));
                    self.seek_hedge(&mut race, RETRY_INTERVAL);
                }
                Event::Found(placement) => {
                    race.search = None;
                    let number = self.attempts.next_attempt() + race.in_flight();
                    self.cx.metrics.count_hedge("sent");
                    race.rivals.push(self.send(placement, number, true));
                }
                Event::Overdue {
                    are_links_lost: lost,
                } => {
                    are_links_lost = lost;
                    self.seek_hedge(&mut race, Millis::ZERO);
                }
                Event::StandbyOver if self.silent_in(&race) == Some(Millis::ZERO) => {
                    race.standby = None;
                }
                Event::StandbyOver => self.end_rivals(&mut race),
                Event::LinksRestored => {
                    are_links_lost = false;
                    race.search = None;
                }
                Event::Expired => {
                    self.end_rivals(&mut race);
                    let now = self.cx.clock.now();
                    let failure = Failure::may_have_run(self.silence_of(&race.current, now));
                    return self.end_attempt(&race.current, failure.into()).await;
                }
            }
        }
    }

    /// Waits for what happens next to the attempts in flight.
    async fn next_event(
        &self,
        race: &mut Race,
        are_links_lost: bool,
    ) -> Event {
        if self.is_expired() {
            // An upstream that always has a next event would never let the wait for the deadline go on.
            return Event::Expired;
        }
        let now = self.cx.clock.now();
        let standby_left = race.standby.map(|standby| standby.until.since(now));
        let silent_in = self.silent_in(race);
        let is_silent = silent_in == Some(Millis::ZERO);
        let listens = is_silent || race.standby.is_none_or(|standby| standby.listens);
        if standby_left == Some(Millis::ZERO) {
            return Event::StandbyOver;
        }
        let links = &self.cx.links;
        let can_hedge = self.can_hedge(race);
        let is_seeking = race.search.is_some();
        let patience = self.patience_left(race);
        let uses_own_links = race.current.uses_own_links();
        let can_abort = can_hedge && race.rivals.is_empty();
        let Race {
            current,
            rivals,
            search,
            ..
        } = race;
        let watched = async {
            if uses_own_links {
                links.attend(current.next(), can_abort).await
            } else {
                Ok(current.next().await)
            }
        };
        tokio::select! {
            biased;
            piece = watched => match piece {
                Ok(piece) => Event::Piece(piece),
                Err(LinksLost) => Event::Overdue { are_links_lost: true },
            },
            (number, piece) = next_of(rivals), if listens => {
                Event::Rival(number, piece)
            }
            placement = found(search) => Event::Found(placement),
            () = sleep(self.time_left()) => Event::Expired,
            () = sleep(standby_left.unwrap_or_default().to_std()), if standby_left.is_some() => {
                Event::StandbyOver
            }
            () = sleep(silent_in.unwrap_or_default().to_std()), if !listens && silent_in.is_some() => {
                Event::Stalled
            }
            () = sleep(patience), if can_hedge => Event::Overdue { are_links_lost: false },
            () = links.restored(), if is_seeking && are_links_lost => Event::LinksRestored,
        }
    }

    /// Ends an attempt that has failed, and decides between a retry and a final error.
    async fn end_attempt(
        &mut self,
        attempt: &InFlight,
        e: AttemptError,
    ) -> Step {
        self.count_hedge(attempt, "failed");
        let failure = match e {
            AttemptError::Failed(failure) => failure,
            AttemptError::Refused(kind) => {
                attempt
                    .placement
                    .end(Outcome::Abandoned, AttemptEvidence::NONE);
                return Step::Fail(kind);
            }
        };
        let outcome = failure.outcome;
        let can_retry = self.record_failure(attempt, failure);
        let has_begun = self.progress.first_at.is_some();
        match outcome {
            _ if self.is_expired() && self.attempts.may_have_run() => {
                Step::Fail(ErrorKind::DeadlineExceeded)
            }
            _ if self.is_expired() => Step::Fail(ErrorKind::CannotMeetDeadline),
            _ if has_begun && !self.can_resume() => Step::Fail(ErrorKind::AnswerCut),
            _ if !can_retry && has_begun && !self.overtaken_upstreams.is_empty() => Step::Retry,
            _ if !can_retry && self.attempts.may_have_run() => Step::Fail(ErrorKind::UpstreamLost),
            _ if !can_retry => Step::Fail(ErrorKind::NoUpstream),
            Outcome::NotLoaded => {
                sleep(NOT_RUN_RETRY_DELAY.to_std()).await;
                Step::Retry
            }
            _ => Step::Retry,
        }
    }

    /// Records an attempt that has failed; returns whether another one is allowed.
    fn record_failure(
        &mut self,
        attempt: &InFlight,
        failure: Failure,
    ) -> bool {
        let now = self.cx.clock.now();
        let trace = attempt.trace();
        let is_gone = failure.has_upstream_ended && trace.via == Via::OwnLinks;
        let answer_end = match failure.is_broken {
            true if is_gone => AnswerEnd::UpstreamGone,
            true => AnswerEnd::Broken,
            false => AnswerEnd::GivenUp,
        };
        if failure.is_broken {
            self.cx.metrics.count_broken_attempt();
        }
        let placement = &attempt.placement;
        self.overtaken_upstreams
            .retain(|upstream| *upstream != placement.upstream);
        let mut evidence = trace.evidence(answer_end, now);
        if failure.has_upstream_ended && trace.via == Via::OtherVm {
            evidence.request = RequestEvidence::UpstreamEnded;
        }
        let evidence = placement.evidence_of(failure.outcome, evidence);
        placement.end(failure.outcome, evidence);
        self.cx.metrics.count_attempt(failure.outcome);
        let can_retry = self.attempts.record_end(failure.end);
        self.log_failed(attempt, &failure, evidence.prompt, can_retry, now);
        self.upstream_error = failure.response.or(self.upstream_error.take());
        match failure.outcome {
            Outcome::NotLoaded => {}
            Outcome::Shed => self.full_upstreams.push(placement.upstream.clone()),
            _ => self.failed_upstreams.push(placement.upstream.clone()),
        }
        can_retry
    }

    /// Whether another upstream may add the rest of a stream that has begun.
    fn can_resume(&self) -> bool {
        self.req.is_resumable() && self.progress.origin.is_resumable()
    }

    /// Sends the final response of a request that failed.
    async fn give_up(
        &mut self,
        refusal: Refusal,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let refusal = self.refusal_after_attempts(refusal);
        self.cx.metrics.count_refused(
            refusal,
            self.req.account.as_deref(),
            Some(self.req.priority),
        );
        self.log_given_up(refusal);
        if out.has_begun() {
            // Closing without the last chunk tells the caller that the stream is incomplete.
            out.close_after();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if let Some(response) = self.upstream_error.take() {
            let (head, body) = &*response;
            return out.write_whole(head, body).await;
        }
        let id = self.req.caller.request_id.as_deref();
        out.write_error(ErrorResponse(refusal), id).await
    }

    /// Replaces a refusal that claims that the request didn't run if an attempt may have run.
    fn refusal_after_attempts(
        &self,
        refusal: Refusal,
    ) -> Refusal {
        use jasmine_core::error::Execution;
        let claims_not_run = refusal.kind.answer().execution == Execution::NotRun;
        if claims_not_run && self.attempts.may_have_run() {
            Refusal::new(ErrorKind::UpstreamLost)
        } else {
            refusal
        }
    }

    /// The newest announced version of the request's adapter that this VM knows; 0 for none.
    fn newest_version(&self) -> u32 {
        let newest = self.req.newest_version(&self.cx.scheduling.local_scheduler);
        newest.map_or(0, |newest| newest.limit.version)
    }
}

/// Whether a piece can still be forwarded: a whole response can't follow the begin of a stream.
fn is_usable(
    piece: &Piece,
    out: &ResponseWriter<'_>,
) -> bool {
    !(matches!(piece, Piece::Whole(..)) && out.has_begun())
}

/// Why an attempt goes no further: it has failed, or its next piece can't be forwarded.
fn failure_of(end: Result<Piece, AttemptError>) -> AttemptError {
    match end {
        Err(e) => e,
        Ok(_) => Failure::may_have_run(Outcome::Failed).into(),
    }
}

impl Drop for Driver<'_> {
    /// Logs requests that are cancelled because the caller has disconnected.
    fn drop(&mut self) {
        if !self.is_logged {
            self.log_end("caller_gone");
        }
    }
}
