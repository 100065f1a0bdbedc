use {
    super::{ForwardRequest, STOPPING_RETRY_DELAY, request::AttemptSpec},
    crate::{
        context::{Context, StopStage},
        scheduling::{Placement, PlacementError},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        quarantine::PromptEvidence,
        scheduler::Outcome,
        streams::StreamOrigin,
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        future::pending,
        rc::Rc,
    },
    tokio::time::{sleep, timeout},
};

/// Pause before a successor is sought again after a refusal.
const RETRY_INTERVAL: Millis = Millis(500);

/// Places one attempt; waits until the deadline, or until a planned stop refuses waiting requests.
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
        () = cx.stop_reached(StopStage::RefusingWaiting) => {
            Err(Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY).into())
        }
    }
}

/// Seeks an upstream that takes a request over while its present one is silent.
pub(super) struct Successor {
    cx: Rc<Context>,
    req: Rc<ForwardRequest>,
    /// The number of the next attempt; `None` if no other one is allowed.
    next_attempt: Option<u32>,
    /// Upstreams that have failed the request, and the silent one.
    excluded_upstreams: Vec<String>,
    build: RefCell<Option<String>>,
    has_begun: Cell<bool>,
    can_take_over: Cell<bool>,
    found: RefCell<Option<Placement>>,
}

impl Successor {
    /// Creates the search for the successor of the last of `excluded_upstreams`.
    pub(super) fn new(
        cx: &Rc<Context>,
        req: &Rc<ForwardRequest>,
        next_attempt: Option<u32>,
        excluded_upstreams: Vec<String>,
    ) -> Self {
        Self {
            cx: Rc::clone(cx),
            req: Rc::clone(req),
            next_attempt,
            excluded_upstreams,
            build: RefCell::default(),
            has_begun: Cell::new(false),
            can_take_over: Cell::new(true),
            found: RefCell::default(),
        }
    }

    /// Whether another upstream may take the request over.
    pub(super) fn is_allowed(&self) -> bool {
        self.next_attempt.is_some() && self.can_take_over.get()
    }

    /// Records that the caller has a part of the answer, begun by the build of `origin`.
    pub(super) fn note_begun(
        &self,
        origin: &StreamOrigin,
    ) {
        self.has_begun.set(true);
        self.note_origin(origin);
    }

    /// Records which build began the answer, which decides who may go on with it.
    pub(super) fn note_origin(
        &self,
        origin: &StreamOrigin,
    ) {
        self.can_take_over
            .set(self.req.is_resumable() && origin.is_resumable());
        self.build
            .replace(origin.required_build().map(str::to_owned));
    }

    /// Waits until an upstream can take the request over; forever if none may.
    pub(super) async fn find(&self) {
        let Some(number) = self.next_attempt.filter(|_| self.can_take_over.get()) else {
            return pending().await;
        };
        let build = self.build.borrow().clone();
        let attempt = AttemptSpec {
            number,
            excluded_upstreams: &self.excluded_upstreams,
            build: build.as_deref(),
            has_begun: self.has_begun.get(),
            is_successor: true,
        };
        loop {
            if self.cx.links.can_send(&self.req.allowed_data_centres) {
                match place(&self.cx, &self.req, &attempt).await {
                    Ok(placement) if self.can_take(&placement).await => {
                        let silent = self.excluded_upstreams.last();
                        Line::new("successor_found")
                            .with("id", self.req.caller.request_id.as_deref().unwrap_or("-"))
                            .with("upstream", &placement.upstream)
                            .with("silent", silent.map_or("-", String::as_str))
                            .info();
                        self.found.replace(Some(placement));
                        return;
                    }
                    Ok(_) => {}
                    Err(e) => Line::new("successor_refused")
                        .with("id", self.req.caller.request_id.as_deref().unwrap_or("-"))
                        .with("kind", e.refusal.kind)
                        .with("waited_for", e.waited_for.as_str())
                        .info(),
                }
            }
            sleep(RETRY_INTERVAL.to_std()).await;
        }
    }

    /// Whether the upstream of a placement is another one and accepts a connection, which is kept for the request.
    async fn can_take(
        &self,
        placement: &Placement,
    ) -> bool {
        // A leader of an earlier version may assign the silent one.
        if self.excluded_upstreams.contains(&placement.upstream) {
            return false;
        }
        if self.cx.links.is_lost() {
            return true;
        }
        let pool = &self.cx.pool;
        match pool.open(placement.address).await {
            Ok(connection) => {
                pool.keep(placement.address, connection);
                true
            }
            Err(e) => {
                Line::new("connect_failed")
                    .with("upstream", &placement.upstream)
                    .with("reason", e)
                    .info();
                placement.end(Outcome::Unreachable, PromptEvidence::None);
                false
            }
        }
    }

    /// Releases the upstream that was found, as the silent one has gone on.
    pub(super) fn discard(&self) {
        drop(self.found.take());
    }

    /// The upstream that was found.
    pub(super) fn into_found(self) -> Option<Placement> {
        self.found.into_inner()
    }
}
