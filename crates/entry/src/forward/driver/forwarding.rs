//! Forwarding of the pieces of an answer to the caller.

use {
    super::{Driver, Step},
    crate::{
        caller::ResponseWriter,
        forward::{
            in_flight::InFlight,
            piece::Piece,
            race::{Race, standby_over},
            stream_reader::EventBatch,
        },
    },
    jasmine_core::{
        clock::Millis, quarantine::AnswerEnd, scheduler::Outcome, streams::ServiceBuild,
    },
    std::{io, pin::pin, rc::Rc},
    tokio::{sync::Notify, time::timeout},
};

/// How long the first events of a stream wait for another VM to keep its origin.
const MAX_ORIGIN_DELAY: Millis = Millis(60);

impl Driver<'_> {
    /// Forwards a piece of the current attempt, which overtakes its rivals; returns what follows if that was the last
    /// one.
    pub(super) async fn go_on(
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
        if let Some(kept) = self.note_piece(&race.current, &piece, out.has_begun()) {
            // A caller that has an event and loses this VM can go on only where its origin is known.
            let _elapsed = timeout(MAX_ORIGIN_DELAY.to_std(), kept.notified()).await;
        }
        let is_hard_load = self.cx.scheduling.local_scheduler.is_hard_load();
        if piece.is_last() && is_hard_load {
            race.current.note_complete();
        }
        // With rivals, another one's events might go out before those that were read ahead.
        let can_read_ahead = !piece.is_last() && race.rivals.is_empty() && is_hard_load;
        let written = {
            let mut writing = pin!(write_piece(&piece, out));
            loop {
                // A caller may take a piece slowly.
                tokio::select! {
                    biased;
                    written = &mut writing => break written,
                    () = standby_over(race.standby, &self.cx.clock) => self.end_rivals(race),
                    () = race.current.read_ahead(), if can_read_ahead => {}
                }
            }
        };
        let step = self.conclude_piece(&race.current, &piece, written);
        if step.is_some() {
            self.end_rivals(race);
        }
        step
    }

    /// Records that a piece of an answer is forwarded; returns what its first events have to wait for.
    fn note_piece(
        &mut self,
        attempt: &InFlight,
        piece: &Piece,
        has_begun: bool,
    ) -> Option<Rc<Notify>> {
        self.upstream = Some(attempt.placement.upstream.clone());
        self.framing = attempt.trace().framing;
        self.partial_bytes = attempt.trace().partial_bytes;
        match piece {
            Piece::Events(_, batch) => self.note_events(attempt, batch),
            Piece::End(_) if !has_begun => self.note_events(attempt, &EventBatch::default()),
            Piece::Begun | Piece::End(_) | Piece::Whole(..) => None,
        }
    }

    fn note_events(
        &mut self,
        attempt: &InFlight,
        batch: &EventBatch,
    ) -> Option<Rc<Notify>> {
        let mut kept = None;
        let now = self.cx.clock.now();
        if let Some(last) = self.progress.last_at.replace(now) {
            self.cx.metrics.record_gap(&self.req, now.since(last));
        }
        if self.progress.first_at.is_none() {
            self.progress.first_at = Some(now);
            let build = attempt.placement.build.as_deref();
            self.progress.origin.begin(build);
            kept = self.publish_origin();
            attempt.placement.first_event();
        }
        let last_event = &self.progress.last_event;
        last_event.set(batch.last_id.or(last_event.get()));
        self.progress.events += batch.count;
        kept
    }

    /// Reports the end of an attempt whose last piece was written, or whose caller has left.
    fn conclude_piece(
        &self,
        attempt: &InFlight,
        piece: &Piece,
        written: io::Result<()>,
    ) -> Option<Step> {
        let now = self.cx.clock.now();
        let trace = attempt.trace();
        match written {
            Err(e) => {
                let evidence = trace.evidence(AnswerEnd::GivenUp, now);
                attempt.placement.end(Outcome::Abandoned, evidence);
                Some(Step::Done(Err(e)))
            }
            Ok(()) if piece.is_last() => {
                attempt.note_complete();
                let took = now.since(trace.sent_at);
                self.cx.metrics.count_attempt(Outcome::Answered { took });
                let first = self.progress.first_at.map(|at| at.since(self.req.arrived));
                self.cx
                    .metrics
                    .record_answered(&self.req, self.waited, first);
                Some(Step::Done(Ok(())))
            }
            Ok(()) => {
                attempt.note_forwarded(now);
                None
            }
        }
    }

    /// Replicates the origin of a stream, so that its caller can resume it at another VM.
    ///
    /// While the service has several builds, the result is notified once another VM keeps it.
    fn publish_origin(&self) -> Option<Rc<Notify>> {
        let req = &self.req;
        let is_first_attempt = req.is_resumable() && !req.is_resumption();
        let id = req
            .caller
            .request_id
            .as_ref()
            .filter(|_| is_first_attempt)?;
        let build = self.progress.origin.required_build();
        let origin = ServiceBuild {
            service: req.service.clone(),
            build: build.map(str::to_owned),
        };
        let kept = self.cx.origins.begin(id, origin)?;
        let known = self.cx.scheduling.known_builds(&req.service);
        known.only.is_none().then_some(kept)
    }
}

/// Writes a piece; the head goes out with the first events, as a retry may replace it until then.
async fn write_piece(
    piece: &Piece,
    out: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    match piece {
        Piece::Begun => Ok(()),
        Piece::Events(_, batch) if out.has_begun() => out.chunk(&batch.bytes).await,
        Piece::Events(head, batch) => out.begin_stream(head, &batch.bytes).await,
        Piece::End(head) => {
            if !out.has_begun() {
                out.begin_stream(head, &[]).await?;
            }
            out.end_stream().await
        }
        Piece::Whole(head, body) => out.write_whole(head, body).await,
    }
}
