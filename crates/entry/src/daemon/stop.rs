//! The planned stop: the balancer first, then the lead, then idle connections, then what waits, then what is left.

use {
    crate::{
        context::{Context, StopStage},
        store::{Feed, KvStore, Membership, leave},
    },
    jasmine_core::{clock::Millis, scheduler::PausedEngines},
    jasmine_telemetry::log::Line,
    std::time::Duration,
    tokio::{
        signal::unix::{SignalKind, signal},
        task::AbortHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// How long the balancer may go on sending callers: it asks once a second and believes the second refusal. What
/// comes later is told to go elsewhere: it could not end before this process does.
const BALANCER: Millis = Millis(2_800);
/// How long before the end of its time the daemon ends by itself.
const SPARE: Millis = Millis(500);
/// How long before its end the daemon sends away what still waits for an upstream. A stream that begins later than that
/// is mostly cut off midway; one that is still waiting at the end would get no answer at all.
const EMPTYING: Millis = Millis(2_500);
/// How often it is looked whether all requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Waits for SIGTERM or SIGINT and stops in order; SIGHUP changes nothing here, as nothing that the settings
/// file says may change while the process runs.
///
/// The lead goes while this VM still answers, so that nobody waits for a lease to lapse. Callers are served until the
/// balancer has stopped sending them, and are told with each answer to come back over another connection.
pub(super) async fn on_signal(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    feed: &Feed,
    keeping: &[AbortHandle],
) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut term), Ok(mut int), Ok(mut hup)) = signals else {
        Line::new("signals_not_watched").error();
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => Line::new("reload_asked").info(),
        }
    }
    let began = Instant::now();
    let deadline = began + (Millis(cx.settings.stop_s * 1000) - SPARE).to_std();
    cx.set_stop_stage(StopStage::Leaving);
    Line::new("stopping")
        .with("in_flight", cx.in_flight())
        .info();
    feed.stop();
    tokio::join!(
        hand_over(cx, store, membership, keeping, deadline - EMPTYING.to_std()),
        let_go(cx, began, deadline),
    );
    Line::new("stopped")
        .with("cut", cx.in_flight())
        .with("ms", began.elapsed().as_millis())
        .info();
}

/// Gives up the lead and this VM's entry in the store.
///
/// Where engines check no fencing tokens, a VM that follows must let each of them rest. So half of them get their last
/// order now and the others with the end of the lead: whoever follows can load adapters from its first moment on, and
/// this VM until its last.
async fn hand_over(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    keeping: &[AbortHandle],
    latest: Instant,
) {
    if cx.scheduling.is_leading() && cx.settings.order_gap() > Millis::ZERO {
        cx.scheduling
            .local_scheduler
            .pause_orders(PausedEngines::EverySecond);
        sleep_until((Instant::now() + cx.settings.order_gap().to_std()).min(latest)).await;
    }
    keeping.iter().for_each(AbortHandle::abort);
    cx.scheduling.announce_leaving().await;
    if let Err(e) = leave(store, membership).await {
        Line::new("lease_not_ended").with("reason", e).info();
    }
}

/// Lets callers go: those whom the balancer still sends are served, then what has time is, then what runs.
async fn let_go(
    cx: &Context,
    began: Instant,
    deadline: Instant,
) {
    sleep_until((began + BALANCER.to_std()).min(deadline)).await;
    cx.set_stop_stage(StopStage::Closing);
    wait_until_idle(cx, deadline - EMPTYING.to_std()).await;
    cx.set_stop_stage(StopStage::Emptying);
    wait_until_idle(cx, deadline).await;
}

/// Waits until no request is left, until a point in time at the longest.
async fn wait_until_idle(
    cx: &Context,
    until: Instant,
) {
    while cx.in_flight() > 0 && Instant::now() < until {
        sleep(LOOK_EVERY).await;
    }
}
