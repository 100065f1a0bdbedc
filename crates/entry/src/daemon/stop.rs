//! The planned stop: leaves the load balancer, resigns as leader, then drains connections and requests.

use {
    crate::{
        context::{Context, StopStage},
        store::{Feed, KvStore, Membership, deregister},
    },
    jasmine_core::{clock::Millis, scheduler::EnginesToPause},
    jasmine_telemetry::log::Line,
    std::time::Duration,
    tokio::{
        signal::unix::{SignalKind, signal},
        task::AbortHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// How long the load balancer may still send new callers, two of its probe intervals; later requests are refused.
///
/// It probes once a second and believes the second failure.
const BALANCER_DRAIN_TIMEOUT: Millis = Millis(2_800);
/// How long before the stop limit requests that still run are ended.
const ENDING_MARGIN: Millis = Millis(500);
/// How long the responses to requests that are ended may take to be sent.
const ENDING_TIMEOUT: Millis = Millis(250);
/// How long before requests are ended those are refused that still wait for an upstream.
///
/// Streams that began later would mostly be cut off. Requests that still waited at the exit would get no response at
/// all.
const WAITING_REFUSAL_MARGIN: Millis = Millis(2_500);
/// How often the number of running requests is checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Waits for SIGTERM or SIGINT and stops gracefully; SIGHUP is only logged, as settings can't be reloaded.
///
/// Leadership is given up while this VM still serves, so that no VM waits for the lease to expire. Callers are served
/// until the load balancer has stopped sending them; each response closes its connection.
pub(super) async fn on_signal(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    feed: &Feed,
    lease_tasks: &[AbortHandle],
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
    let deadline = began + (Millis(cx.settings.stop_s * 1000) - ENDING_MARGIN).to_std();
    cx.set_stop_stage(StopStage::Leaving);
    Line::new("stopping")
        .with("in_flight", cx.in_flight())
        .info();
    feed.stop();
    let (ended, ()) = tokio::join!(
        drain(cx, began, deadline),
        resign(
            cx,
            store,
            membership,
            lease_tasks,
            deadline - WAITING_REFUSAL_MARGIN.to_std()
        ),
    );
    Line::new("stopped")
        .with("cut", ended)
        .with("unanswered", cx.in_flight())
        .with("ms", began.elapsed().as_millis())
        .info();
}

/// Resigns as leader and removes this VM's record from the store.
///
/// If engines check no fencing tokens, the next leader must wait the order gap since an engine's last order. Orders to
/// half of the engines therefore pause first: the next leader can use these at once, and this VM the others until then.
async fn resign(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    lease_tasks: &[AbortHandle],
    latest: Instant,
) {
    if cx.scheduling.is_leading() && cx.settings.order_gap() > Millis::ZERO {
        cx.scheduling
            .local_scheduler
            .pause_orders(EnginesToPause::EverySecond);
        sleep_until((Instant::now() + cx.settings.order_gap().to_std()).min(latest)).await;
    }
    lease_tasks.iter().for_each(AbortHandle::abort);
    cx.scheduling.announce_leaving().await;
    if let Err(e) = deregister(store, membership).await {
        Line::new("lease_not_ended").with("reason", e).info();
    }
}

/// Drains callers: new ones until the balancer has stopped sending them, then waiting and then running requests, which
/// are ended at the deadline; returns how many these were.
async fn drain(
    cx: &Context,
    began: Instant,
    deadline: Instant,
) -> usize {
    sleep_until((began + BALANCER_DRAIN_TIMEOUT.to_std()).min(deadline)).await;
    cx.set_stop_stage(StopStage::Closing);
    wait_until_idle(cx, deadline - WAITING_REFUSAL_MARGIN.to_std()).await;
    cx.set_stop_stage(StopStage::RefusingWaiting);
    wait_until_idle(cx, deadline).await;
    let ended = cx.in_flight();
    cx.set_stop_stage(StopStage::Ending);
    wait_until_idle(cx, deadline + ENDING_TIMEOUT.to_std()).await;
    ended
}

/// Waits until no exchange with a caller is left, at most until `until`.
async fn wait_until_idle(
    cx: &Context,
    until: Instant,
) {
    while cx.exchanges() > 0 && Instant::now() < until {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}
