use {
    super::{ForwardRequest, STOPPING_RETRY_DELAY, request::AttemptSpec},
    crate::{
        context::{Context, StopStage},
        scheduling::{Placement, PlacementError},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause before an upstream is sought again after a refusal or a failed hedge.
pub(super) const RETRY_INTERVAL: Millis = Millis(500);

/// How long an upstream of the preferred build is waited for.
const PREFERENCE_TIME: Duration = Duration::from_millis(250);

/// Places one attempt; waits until the deadline, or until a planned stop refuses waiting requests.
///
/// An answer that has begun waits on: nothing but the exit ends it.
pub(super) async fn place(
    cx: &Context,
    req: &ForwardRequest,
    attempt: &AttemptSpec<'_>,
) -> Result<Placement, PlacementError> {
    loop {
        let placement = place_by_view(cx, req, attempt).await?;
        // An upstream may have started again as another build while this VM was suspended.
        if attempt.build.is_none() || !cx.origins.catch_up().await {
            return Ok(placement);
        }
        let known = cx.scheduling.local_scheduler.build_of(&placement.upstream);
        if known.as_deref() == attempt.build {
            return Ok(placement);
        }
        Line::new("placement_outdated")
            .with("id", req.id())
            .with("upstream", &placement.upstream)
            .with("build", attempt.build.unwrap_or("-"))
            .with("known", known.as_deref().unwrap_or("-"))
            .info();
    }
}

/// Places one attempt by what the VMs know now.
async fn place_by_view(
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
    /// The build that is sought first: an attempt that is in flight could go on after it.
    pub preferred_build: Option<String>,
    /// Whether the caller has a part of the answer.
    pub has_begun: bool,
    /// Pause before the search.
    pub pause: Millis,
}

impl HedgeSearch {
    /// Waits until an upstream can take the request, too.
    pub(super) async fn find(self) -> Placement {
        sleep(self.pause.to_std()).await;
        loop {
            if self.cx.links.can_send(&self.req.allowed_data_centres) {
                let preferred = self.place_preferred().await;
                let placement_result = match preferred {
                    Some(placement) => Ok(placement),
                    None => self.place(self.build.as_deref()).await,
                };
                match placement_result {
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

    /// Waits for an upstream of the preferred build; `None` if there is no such build, or none in time.
    async fn place_preferred(&self) -> Option<Placement> {
        let build = self.preferred_build.as_deref()?;
        let placed = timeout(PREFERENCE_TIME, self.place(Some(build))).await;
        let placement = placed.ok().and_then(Result::ok);
        placement.filter(|it| !self.excluded_upstreams.contains(&it.upstream))
    }

    async fn place(
        &self,
        build: Option<&str>,
    ) -> Result<Placement, PlacementError> {
        let attempt = AttemptSpec {
            number: self.number,
            excluded_upstreams: &self.excluded_upstreams,
            allowed_upstreams: &[],
            build,
            has_begun: self.has_begun,
            is_hedge: true,
        };
        place(&self.cx, &self.req, &attempt).await
    }
}
