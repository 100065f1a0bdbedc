use {
    super::{
        ForwardRequest,
        attempt::Via,
        failure::Failure,
        hedge::{HedgeSearch, RETRY_INTERVAL, place},
        in_flight::{AttemptSetup, InFlight},
        patience::Patience,
        piece::{AttemptError, Piece},
        progress::Progress,
        race::{Race, Standby, close_after, found, next_of},
        request::AttemptSpec,
        stream_reader::EventBatch,
    },
    crate::{
        caller::{ErrorResponse, ResponseWriter},
        context::Context,
        http1::{Framing, ResponseHead},
        links::LinksLost,
        scheduling::{Placement, PlacementError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::{AttemptEnd, Attempts},
        ids::PartId,
        ingress::PromptPart,
        quarantine::{AnswerEnd, AttemptEvidence, RequestEvidence, join_parts},
        reachability::LinkStatus,
        scheduler::{Outcome, WaitReason},
        streams::{OriginLookup, ServiceBuild},
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

/// Delay before the retry of a request that an upstream didn't run because its adapter isn't loaded yet.
const NOT_RUN_RETRY_DELAY: Millis = Millis(15);

/// `Retry-After` while neither this VM nor another one reaches an upstream.
const ISOLATED_RETRY_DELAY: Millis = Millis(1_000);

/// How often an answer that has begun checks whether an upstream is reached again.
const REACHABILITY_CHECK_INTERVAL: Millis = Millis(100);

/// How long an overtaken attempt stands by, in case the one that goes on breaks off.
const STANDBY_TIME: Millis = Millis(1_000);
/// The same for generations, which two engines may work on for 400 ms.
const GENERATION_STANDBY_TIME: Millis = Millis(300);

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

    pub(super) async fn run(
        mut self,
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
        let lookup = match &caller.resumes {
            Some(id) => self.cx.origins.look_up(id).await,
            None => OriginLookup::default(),
        };
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
            .with("answered", lookup.answered);
        let known = self.cx.scheduling.known_builds(&self.req.service);
        let is_recorded = lookup.recorded.is_some();
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
        Line::new("request_sent")
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
            .with("decided_by", self.cx.scheduling.decider())
            .info();
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

    /// Time until the current attempt counts as silent, so that what it has overtaken is listened to; `None` for a
    /// generation, whose runs aren't mixed.
    fn silent_in(
        &self,
        race: &Race,
    ) -> Option<Millis> {
        let trace = race.current.trace();
        let left = self.patience.gap_left(&trace, self.cx.clock.now());
        Some(left).filter(|_| !self.req.is_generation)
    }

    /// Whether another upstream may be sent the request beside those that have it.
    fn can_hedge(
        &self,
        race: &Race,
    ) -> bool {
        let is_settled = race.search.is_some() || race.standby.is_some();
        let is_fresh = self.progress.first_at.is_none() && !self.req.is_resumption();
        !is_settled
            && self.may_hedge
            && self.attempts.can_run_beside(race.in_flight())
            && (is_fresh || self.can_resume())
    }

    /// Time left until a hedge is due, as all in flight are silent.
    fn patience_left(
        &self,
        race: &Race,
    ) -> Duration {
        let now = self.cx.clock.now();
        let attempts = race.attempts();
        let left = attempts.map(|attempt| self.patience.left(&attempt.trace(), now));
        left.max().unwrap_or_default().to_std()
    }

    /// Begins the search for an upstream that gets the request beside the one of the current attempt.
    fn seek_hedge(
        &self,
        race: &mut Race,
        pause: Millis,
    ) {
        if !self.can_hedge(race) {
            return;
        }
        let mut excluded_upstreams = self.failed_upstreams.clone();
        excluded_upstreams.extend(race.attempts().map(|it| it.placement.upstream.clone()));
        race.seek(HedgeSearch {
            cx: Rc::clone(self.cx),
            req: Rc::clone(&self.req),
            number: self.attempts.next_attempt() + race.in_flight(),
            excluded_upstreams,
            build: self.progress.origin.required_build().map(str::to_owned),
            preferred_build: self.preferred_build(&race.current),
            has_begun: self.progress.first_at.is_some(),
            pause,
        });
    }

    /// Whether some attempt in flight couldn't go on after the first events of another one.
    fn is_contested(
        &self,
        race: &Race,
    ) -> bool {
        let builds = || race.attempts().map(|attempt| &attempt.placement.build);
        let are_equal = builds()
            .zip(builds().skip(1))
            .all(|(one, next)| one == next);
        !are_equal && self.req.is_resumable() && self.progress.first_at.is_none()
    }

    /// The build of a hedge after which an attempt could go on that has forwarded nothing.
    fn preferred_build(
        &self,
        attempt: &InFlight,
    ) -> Option<String> {
        let is_open = self.req.is_resumable() && self.progress.first_at.is_none();
        let build = attempt.placement.build.as_ref().filter(|_| is_open);
        build.cloned()
    }

    /// Forwards a piece of the current attempt, which overtakes its rivals; returns what follows if that was the last
    /// one.
    async fn go_on(
        &mut self,
        race: &mut Race,
        piece: Piece,
        out: &mut ResponseWriter<'_>,
    ) -> Option<Step> {
        self.count_hedge(&race.current, "answered");
        if piece.is_last() {
            self.end_rivals(race);
        } else {
            self.overtake_rivals(race);
        }
        let now = self.cx.clock.now();
        let left = race.standby.map(|standby| standby.until.since(now));
        let step = tokio::select! {
            step = self.forward(&race.current, piece, out) => step,
            // A caller may take a piece slowly.
            never = close_after(&mut race.rivals, left) => match never {},
        };
        if step.is_some() {
            self.end_rivals(race);
        }
        step
    }

    /// Lets rivals stand by that could go on with the stream, and ends the others.
    fn overtake_rivals(
        &mut self,
        race: &mut Race,
    ) {
        race.search = None;
        let origin = &self.progress.origin;
        let begun_by = race.current.placement.build.as_deref();
        let build = origin.required_build().or(begun_by);
        let can_resume = self.can_resume() && build.is_some();
        let rivals = std::mem::take(&mut race.rivals).into_iter();
        let (standing, ended): (Vec<_>, Vec<_>) =
            rivals.partition(|rival| can_resume && rival.placement.build.as_deref() == build);
        let now = self.cx.clock.now();
        for rival in ended {
            self.end_overtaken(&rival, now);
        }
        race.rivals = standing;
        self.begin_standby(race, false);
    }

    /// Lets rivals stand by from now on, or for what is left of their time.
    fn begin_standby(
        &self,
        race: &mut Race,
        listens: bool,
    ) {
        let now = self.cx.clock.now();
        let time = if self.req.is_generation {
            GENERATION_STANDBY_TIME
        } else {
            STANDBY_TIME
        };
        let begins = Standby {
            since: now,
            until: now + time,
            listens,
        };
        let standby = race.standby.unwrap_or(begins);
        race.standby = Some(Standby { listens, ..standby }).filter(|_| !race.rivals.is_empty());
    }

    /// Records that the upstream of a hedge works on the request, which two engines may do for a short time only.
    fn note_begun(
        &self,
        race: &mut Race,
        number: usize,
    ) {
        if self.req.is_generation {
            race.promote(number);
            race.search = None;
            self.begin_standby(race, true);
        }
    }

    /// Ends all but the current attempt.
    fn end_rivals(
        &mut self,
        race: &mut Race,
    ) {
        let standby = race.standby.take();
        let overtaken_at = standby.map_or_else(|| self.cx.clock.now(), |standby| standby.since);
        race.search = None;
        for rival in std::mem::take(&mut race.rivals) {
            self.end_overtaken(&rival, overtaken_at);
        }
    }

    /// Ends an attempt that was overtaken by another one, or by the deadline; it may have run.
    fn end_overtaken(
        &mut self,
        overtaken: &InFlight,
        overtaken_at: Millis,
    ) {
        let placement = &overtaken.placement;
        let outcome = self.silence_of(overtaken, overtaken_at);
        self.count_hedge(overtaken, "overtaken");
        if outcome == Outcome::Silent {
            // If one connection is dead, the others are likely to be too.
            self.cx.pool.close_idle(placement.address);
            self.record_failure(overtaken, Failure::may_have_run(outcome));
        } else {
            self.attempts.record_end(AttemptEnd::MayHaveRun);
            self.cx.metrics.count_attempt(outcome);
            placement.end(outcome, AttemptEvidence::NONE);
            Line::new("hedge_withdrawn")
                .with("id", self.req.id())
                .with("upstream", &placement.upstream)
                .info();
        }
        self.overtaken_upstreams.push(placement.upstream.clone());
    }

    /// Counts the result of an attempt, if it is a hedge, once.
    fn count_hedge(
        &self,
        attempt: &InFlight,
        result: &'static str,
    ) {
        if attempt.take_uncounted_hedge() {
            self.cx.metrics.count_hedge(result);
        }
    }

    /// What the silence of an attempt shows: nothing about its upstream if another VM, or the links of this one, may
    /// have failed, or if the upstream had little time.
    fn silence_of(
        &self,
        attempt: &InFlight,
        now: Millis,
    ) -> Outcome {
        let trace = attempt.trace();
        let is_long = self.patience.left(&trace, now) == Millis::ZERO;
        let are_links_up = self.cx.links.status() == LinkStatus::Up;
        match trace.via {
            Via::OwnLinks if is_long && are_links_up => Outcome::Silent,
            Via::OwnLinks | Via::OtherVm => Outcome::Abandoned,
        }
    }

    /// Ends an attempt that has failed while another one is in flight.
    fn end_side(
        &mut self,
        failed: &InFlight,
        e: AttemptError,
    ) {
        self.count_hedge(failed, "failed");
        match e {
            AttemptError::Failed(failure) => {
                self.record_failure(failed, failure);
            }
            AttemptError::Refused(_) => {
                failed
                    .placement
                    .end(Outcome::Abandoned, AttemptEvidence::NONE);
                self.may_hedge = false;
            }
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
        let answer_end = if failure.is_broken {
            self.cx.metrics.count_broken_attempt();
            AnswerEnd::Broken
        } else {
            AnswerEnd::GivenUp
        };
        let trace = attempt.trace();
        let placement = &attempt.placement;
        self.overtaken_upstreams
            .retain(|upstream| *upstream != placement.upstream);
        let mut evidence = trace.evidence(answer_end, now);
        if failure.has_upstream_ended {
            evidence.request = RequestEvidence::UpstreamEnded;
        }
        placement.end(failure.outcome, evidence);
        self.cx.metrics.count_attempt(failure.outcome);
        let can_retry = self.attempts.record_end(failure.end);
        Line::new("attempt_failed")
            .with("id", self.req.id())
            .with("request", self.req.fingerprint_text())
            .with("upstream", &placement.upstream)
            .with("outcome", format!("{:?}", failure.outcome))
            .with("broken", failure.is_broken)
            .with("ended", failure.has_upstream_ended)
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
        self.upstream_error = failure.response.or(self.upstream_error.take());
        match failure.outcome {
            Outcome::NotLoaded => {}
            Outcome::Shed => self.full_upstreams.push(placement.upstream.clone()),
            _ => self.failed_upstreams.push(placement.upstream.clone()),
        }
        can_retry
    }

    /// Forwards a piece of an answer; returns what follows if that was the last one.
    async fn forward(
        &mut self,
        attempt: &InFlight,
        piece: Piece,
        out: &mut ResponseWriter<'_>,
    ) -> Option<Step> {
        self.upstream = Some(attempt.placement.upstream.clone());
        self.framing = attempt.trace().framing;
        self.partial_bytes = attempt.trace().partial_bytes;
        let (written, is_last) = match piece {
            Piece::Events(head, batch) => {
                let written = self.forward_events(attempt, &head, &batch, out).await;
                (written, false)
            }
            Piece::Begun => return None,
            Piece::End(head) => (self.end_stream(attempt, &head, out).await, true),
            Piece::Whole(head, body) => (out.write_whole(&head, &body).await, true),
        };
        let now = self.cx.clock.now();
        let trace = attempt.trace();
        match written {
            Err(e) => {
                let evidence = trace.evidence(AnswerEnd::GivenUp, now);
                attempt.placement.end(Outcome::Abandoned, evidence);
                Some(Step::Done(Err(e)))
            }
            Ok(()) if is_last => {
                let end = trace.complete_end(self.req.is_stream());
                let took = now.since(trace.sent_at);
                self.cx.metrics.count_attempt(Outcome::Answered { took });
                let first = self.progress.first_at.map(|at| at.since(self.req.arrived));
                self.cx
                    .metrics
                    .record_answered(&self.req, self.waited, first);
                let evidence = trace.evidence(end, now);
                attempt.placement.end(Outcome::Answered { took }, evidence);
                Some(Step::Done(Ok(())))
            }
            Ok(()) => {
                attempt.note_forwarded(now);
                None
            }
        }
    }

    /// Forwards events; the head goes out with the first ones, as a retry may replace it until then.
    async fn forward_events(
        &mut self,
        attempt: &InFlight,
        head: &ResponseHead,
        batch: &EventBatch,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let now = self.cx.clock.now();
        if let Some(last) = self.progress.last_at.replace(now) {
            self.cx.metrics.record_gap(&self.req, now.since(last));
        }
        if self.progress.first_at.is_none() {
            self.progress.first_at = Some(now);
            let build = attempt.placement.build.as_deref();
            self.progress.origin.begin(build);
            self.publish_origin();
            attempt.placement.first_event();
        }
        let last_event = &self.progress.last_event;
        last_event.set(batch.last_id.or(last_event.get()));
        self.progress.events += batch.count;
        if out.has_begun() {
            out.chunk(&batch.bytes).await
        } else {
            out.begin_stream(head, &batch.bytes).await
        }
    }

    /// Ends a complete stream.
    async fn end_stream(
        &mut self,
        attempt: &InFlight,
        head: &ResponseHead,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        if !out.has_begun() {
            let empty = EventBatch::default();
            self.forward_events(attempt, head, &empty, out).await?;
        }
        out.end_stream().await
    }

    /// Replicates the origin of a stream, so that its caller can resume it at another VM.
    fn publish_origin(&self) {
        let req = &self.req;
        let is_first_attempt = req.is_resumable() && !req.is_resumption();
        if let Some(id) = req.caller.request_id.as_ref().filter(|_| is_first_attempt) {
            let build = self.progress.origin.required_build();
            let origin = ServiceBuild {
                service: req.service.clone(),
                build: build.map(str::to_owned),
            };
            self.cx.origins.begin(id, origin);
        }
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
        self.cx
            .metrics
            .count_refused(refusal, self.req.account.as_deref());
        self.is_logged = true;
        Line::new("request_given_up")
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
            .with("events", self.progress.events)
            .info();
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

    /// Logs the end of a request.
    fn log_end(
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

impl Drop for Driver<'_> {
    /// Logs requests that are cancelled because the caller has disconnected.
    fn drop(&mut self) {
        if !self.is_logged {
            self.log_end("caller_gone");
        }
    }
}
