//! Planned shutdown: readiness, admission, running requests and rights are stopped in this order.

use {
    super::run::{CLOSE_TIMEOUT, Servers},
    crate::{
        coordinator::{Coordinator, ReleaseRights},
        status::Readiness,
    },
    actix::Addr,
    jasmine_conf::settings::StopSettings,
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::sync::Arc,
    tokio::{
        signal::unix::{SignalKind, signal},
        time::{Instant, sleep, timeout},
    },
};

/// How often the number of requests in flight is checked.
const DRAIN_POLL_INTERVAL: Millis = Millis(20);
/// How long aborted requests may take to send their error to the caller.
const ABORT_TIMEOUT: Millis = Millis(200);
/// How long the release of rights may take.
const RELEASE_TIMEOUT: Millis = Millis(800);

/// Waits for SIGTERM, SIGINT or a requested stop, then shuts the daemon down.
///
/// Admission continues for the grace period after readiness ends, since load balancers need time to
/// notice. Rights are released only after admission has stopped, since other VMs may then use them.
pub(super) async fn run_on_signal(
    stop: StopSettings,
    readiness: Arc<Readiness>,
    coordinator: Addr<Coordinator>,
    servers: Servers,
) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        Line::new("signals_not_watched").error();
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = readiness.until_stop_requested() => {}
    }
    let started = Instant::now();
    readiness.start_draining();
    Line::new("stopping")
        .with("in_flight", readiness.in_flight())
        .with("deadline_ms", stop.deadline_ms)
        .info();
    sleep(stop.grace_ms.to_std()).await;
    readiness.stop_admitting();
    let reserved_time =
        (ABORT_TIMEOUT + RELEASE_TIMEOUT + CLOSE_TIMEOUT).min(Millis(stop.deadline_ms.0 / 2));
    let stream_deadline = started + (stop.deadline_ms - reserved_time).to_std();
    while readiness.in_flight() > 0 && Instant::now() < stream_deadline {
        sleep(DRAIN_POLL_INTERVAL.to_std()).await;
    }
    let aborted_requests = readiness.in_flight();
    readiness.abort_requests();
    let abort_deadline = Instant::now() + ABORT_TIMEOUT.min(reserved_time).to_std();
    while readiness.in_flight() > 0 && Instant::now() < abort_deadline {
        sleep(DRAIN_POLL_INTERVAL.to_std()).await;
    }
    let release_result = timeout(
        RELEASE_TIMEOUT.min(reserved_time).to_std(),
        coordinator.send(ReleaseRights),
    )
    .await;
    Line::new("stopped")
        .with("cut", aborted_requests)
        .with("gave_back", release_result.is_ok())
        .with("ms", started.elapsed().as_millis())
        .info();
    for server in servers {
        // Not awaited: `run` returns once the workers have ended.
        drop(server.stop(false));
    }
}
