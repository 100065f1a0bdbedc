use {
    super::ControllerContext,
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::time::{sleep, timeout},
};

/// Part of the deadline reserved for process exit.
const EXIT_RESERVE: Millis = Millis(200);

/// Shuts down: reports unready, hands over engines, releases rights and revokes the lease.
///
/// Steps that miss the deadline are covered by the expiry of the lease, as after a crash.
pub(super) async fn stop(cx: &Rc<ControllerContext>) {
    let stop = cx.settings.stop;
    Line::new("stopping")
        .with("deadline_ms", stop.deadline_ms)
        .info();
    cx.leaving.set(true);
    cx.registration.set_leaving();
    cx.registration_due.raise();
    cx.health
        .update(cx.config.is_loaded(), cx.session.expiry(), true);
    let limit = stop.deadline_ms - EXIT_RESERVE;
    let finished = timeout(limit.to_std(), hand_over_and_release(cx))
        .await
        .is_ok();
    Line::new("stopped").with("finished", finished).info();
}

async fn hand_over_and_release(cx: &Rc<ControllerContext>) {
    sleep(cx.settings.stop.grace_ms.to_std()).await;
    cx.assignment.hand_over_all().await;
    let held = cx.budget.release_all();
    if let Err(e) = cx.holdings.release(cx.me, held).await {
        Line::new("rights_not_released").with("error", e).warn();
    }
    if let Err(e) = cx.session.end().await {
        Line::new("lease_not_ended").with("error", e).warn();
    }
}
