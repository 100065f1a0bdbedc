//! The planned stop: readiness first, then admission, then streams, then rights.

use {
    super::run::{CLOSE_LIMIT, Servers},
    crate::{
        brain::{Brain, Leave},
        status::Readiness,
    },
    actix::Addr,
    jasmine_conf::settings::Stop,
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::sync::Arc,
    tokio::{
        signal::unix::{SignalKind, signal},
        time::{Instant, sleep, timeout},
    },
};

/// How often it is looked whether all requests have ended.
const LOOK_EVERY: Millis = Millis(20);
/// How long callers may take to read that their answer is cut.
const CUT_LIMIT: Millis = Millis(200);
/// How long giving the rights back may take.
const LEAVE_LIMIT: Millis = Millis(800);

/// Waits for SIGTERM or SIGINT and stops everything in order.
///
/// Readiness goes first and admission a little later: balancers need a moment to notice, and what they send in
/// it would otherwise be refused although nothing was wrong. Rights go back only when nothing is admitted any
/// more, since they may be used elsewhere from then on.
pub(super) async fn on_signal(
    stop: Stop,
    readiness: Arc<Readiness>,
    brain: Addr<Brain>,
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
        () = readiness.until_asked_to_stop() => {}
    }
    let began = Instant::now();
    readiness.leave_balancers();
    Line::new("stopping")
        .with("in_flight", readiness.in_flight())
        .with("deadline_ms", stop.deadline_ms)
        .info();
    sleep(stop.grace_ms.to_std()).await;
    readiness.stop_admitting();
    let last = (CUT_LIMIT + LEAVE_LIMIT + CLOSE_LIMIT).min(Millis(stop.deadline_ms.0 / 2));
    let streams_until = began + (stop.deadline_ms - last).to_std();
    while readiness.in_flight() > 0 && Instant::now() < streams_until {
        sleep(LOOK_EVERY.to_std()).await;
    }
    let left = readiness.in_flight();
    readiness.cut_off();
    let told_until = Instant::now() + CUT_LIMIT.min(last).to_std();
    while readiness.in_flight() > 0 && Instant::now() < told_until {
        sleep(LOOK_EVERY.to_std()).await;
    }
    let gave_back = timeout(LEAVE_LIMIT.min(last).to_std(), brain.send(Leave)).await;
    Line::new("stopped")
        .with("cut", left)
        .with("gave_back", gave_back.is_ok())
        .with("ms", began.elapsed().as_millis())
        .info();
    for server in servers {
        // Its answer comes when the workers have ended; the process ends by itself then.
        drop(server.stop(false));
    }
}
