use {
    super::{
        ForwardRequest, STOPPING_RETRY_DELAY,
        in_flight::InFlight,
        piece::{AttemptError, Piece},
        request::AttemptSpec,
    },
    crate::{
        context::{Context, StopStage},
        scheduling::{Placement, PlacementError},
    },
    futures::{FutureExt, future::LocalBoxFuture},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    jasmine_telemetry::log::Line,
    std::{future::pending, rc::Rc},
    tokio::time::{sleep, timeout},
};

/// Pause before an upstream is sought again after a refusal or a failed hedge.
pub(super) const RETRY_INTERVAL: Millis = Millis(500);

/// Places one attempt; waits until the deadline, or until a planned stop refuses waiting requests.
///
/// An answer that has begun waits on: nothing but the exit ends it.
pub(super) async fn place(
    cx: &Context,
    req: &ForwardRequest,
    attempt: &AttemptSpec<'_>,
) -> Result<Placement, PlacementError> {
    let now = cx.clock.now();
    let job = req.job_spec(attempt, &cx.settings.data_centre, now);
    let left = req.deadline.since(now);
    let placement_result = timeout(left.to_std(), cx.scheduling.place(job));
    tokio::select! {
        placement_result = placement_result => {
            placement_result.unwrap_or_else(|_elapsed| {
                Err(Refusal::new(ErrorKind::CannotMeetDeadline).into())
            })
        }
        () = cx.stop_reached(StopStage::RefusingWaiting), if !attempt.has_begun => {
            Err(Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY).into())
        }
    }
}

/// The search for an upstream for a hedge.
pub(super) struct HedgeSearch {
    pub cx: Rc<Context>,
    pub req: Rc<ForwardRequest>,
    /// The number of the hedge among the attempts.
    pub number: u32,
    /// Upstreams that have failed the request and, last, the silent one.
    pub excluded_upstreams: Vec<String>,
    /// The only build that may serve it.
    pub build: Option<String>,
    /// Whether the caller has a part of the answer.
    pub has_begun: bool,
    /// Pause before the search.
    pub pause: Millis,
}

impl HedgeSearch {
    /// Waits until an upstream can take the request, too.
    async fn find(self) -> Placement {
        sleep(self.pause.to_std()).await;
        let attempt = AttemptSpec {
            number: self.number,
            excluded_upstreams: &self.excluded_upstreams,
            build: self.build.as_deref(),
            has_begun: self.has_begun,
            is_hedge: true,
        };
        loop {
            if self.cx.links.can_send(&self.req.allowed_data_centres) {
                match place(&self.cx, &self.req, &attempt).await {
                    // A leader of an earlier version may assign the silent one.
                    Ok(placement) if self.excluded_upstreams.contains(&placement.upstream) => {}
                    Ok(placement) => return placement,
                    Err(e) => Line::new("hedge_refused")
                        .with("id", self.req.id())
                        .with("kind", e.refusal.kind)
                        .with("waited_for", e.waited_for.as_str())
                        .info(),
                }
            }
            sleep(RETRY_INTERVAL.to_std()).await;
        }
    }
}

/// What a hedge has come to.
pub(super) enum HedgeEvent {
    /// An upstream was found for it.
    Found(Placement),
    /// Its answer goes on, or it has failed.
    Piece(Result<Piece, AttemptError>),
}

/// A second attempt beside one whose upstream is silent.
///
/// Whichever answers first is forwarded, and the other one is closed.
pub(super) enum Hedge {
    /// There is none.
    Idle,
    /// An upstream is being sought.
    Seeking(LocalBoxFuture<'static, Placement>),
    /// It is in flight.
    Sent(InFlight),
}

impl Hedge {
    /// Begins the search for an upstream.
    pub(super) fn seek(search: HedgeSearch) -> Self {
        Self::Seeking(search.find().boxed_local())
    }

    /// Waits for what comes next; forever without a hedge. Nothing is lost if the wait is cancelled.
    pub(super) async fn next(&mut self) -> HedgeEvent {
        match self {
            Self::Idle => pending().await,
            Self::Seeking(search) => HedgeEvent::Found(search.await),
            Self::Sent(attempt) => HedgeEvent::Piece(attempt.next().await),
        }
    }

    /// Takes the attempt that is in flight; the search for one ends.
    pub(super) fn take_sent(&mut self) -> Option<InFlight> {
        match std::mem::replace(self, Self::Idle) {
            Self::Sent(attempt) => Some(attempt),
            Self::Idle | Self::Seeking(_) => None,
        }
    }
}
