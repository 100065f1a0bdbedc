//! Rivals of the current attempt: hedges, and what they overtake.

use {
    super::Driver,
    crate::forward::{
        attempt::Via,
        failure::Failure,
        hedge::HedgeSearch,
        in_flight::InFlight,
        piece::AttemptError,
        race::{Race, Standby},
    },
    jasmine_core::{
        clock::Millis, forward::AttemptEnd, quarantine::AttemptEvidence, reachability::LinkStatus,
        scheduler::Outcome,
    },
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
};

/// How long an overtaken attempt stands by, in case the one that goes on breaks off.
const STANDBY_TIME: Millis = Millis(1_000);
/// The same for generations, which two engines may work on for 400 ms.
const GENERATION_STANDBY_TIME: Millis = Millis(300);

impl Driver<'_> {
    /// Whether another upstream may be sent the request beside those that have it.
    pub(super) fn can_hedge(
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
    pub(super) fn patience_left(
        &self,
        race: &Race,
    ) -> Duration {
        let now = self.cx.clock.now();
        let attempts = race.attempts();
        let left = attempts.map(|attempt| self.patience.left(&attempt.trace(), now));
        left.max().unwrap_or_default().to_std()
    }

    /// Begins the search for an upstream that gets the request beside the one of the current attempt.
    pub(super) fn seek_hedge(
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
    pub(super) fn is_contested(
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
    pub(super) fn preferred_build(
        &self,
        attempt: &InFlight,
    ) -> Option<String> {
        let is_open = self.req.is_resumable() && self.progress.first_at.is_none();
        let build = attempt.placement.build.as_ref().filter(|_| is_open);
        build.cloned()
    }

    /// Lets rivals stand by that could go on with the stream, and ends the others.
    pub(super) fn overtake_rivals(
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
    pub(super) fn begin_standby(
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
    pub(super) fn note_begun(
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
    pub(super) fn end_rivals(
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
    pub(super) fn end_overtaken(
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
    pub(super) fn count_hedge(
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
    pub(super) fn silence_of(
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
    pub(super) fn end_side(
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

    /// Time until the current attempt counts as silent, so that what it has overtaken is listened to; `None` for a
    /// generation, whose runs aren't mixed.
    pub(super) fn silent_in(
        &self,
        race: &Race,
    ) -> Option<Millis> {
        let trace = race.current.trace();
        let left = self.patience.gap_left(&trace, self.cx.clock.now());
        Some(left).filter(|_| !self.req.is_generation)
    }
}
