use {
    super::ControllerContext,
    crate::fleet::Registered,
    jasmine_core::{clock::Millis, ownership::OwnerEvent},
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Interval of tick events to the ownership state machine.
const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two steps when no change is signalled.
const MAX_STEP_INTERVAL: Millis = Millis(1_000);

/// Delay before the next step, which batches concurrent changes.
const STEP_DELAY: Duration = Duration::from_millis(50);

/// Limit for waiting for the first read of the fleet.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval of checks for the first read of the fleet.
const FIRST_READ_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Spawns the background tasks.
///
/// `fatal` receives the reason when the daemon has to stop.
pub(super) fn start(
    cx: &Rc<ControllerContext>,
    fatal: &mpsc::Sender<&'static str>,
) {
    let session = Rc::clone(&cx.session);
    spawn_local(async move { session.run().await });
    let fleet = Rc::clone(&cx.fleet_follower);
    spawn_local(async move { fleet.run().await });
    spawn_local(follow_config(Rc::clone(cx)));
    let config = Rc::clone(&cx.config_follower);
    spawn_local(async move { config.watch().await });
    let bootstrap = Rc::clone(cx);
    spawn_local(async move { bootstrap.bootstrap.run().await });
    spawn_local(keep_registered(Rc::clone(cx), fatal.clone()));
    spawn_local(assign(Rc::clone(cx)));
    spawn_local(advance_epochs(Rc::clone(cx)));
    spawn_local(run_ticks(Rc::clone(cx)));
}

/// Follows the configuration once the fleet is known, so that most VMs poll peers and not the store.
async fn follow_config(cx: Rc<ControllerContext>) {
    let steps = FIRST_READ_TIMEOUT.as_millis() / FIRST_READ_CHECK_INTERVAL.as_millis();
    for _ in 0..steps {
        if cx.fleet_follower.is_read() {
            break;
        }
        sleep(FIRST_READ_CHECK_INTERVAL).await;
    }
    cx.config_follower.run().await;
}

/// Keeps this VM's membership record in the store current, under the newest lease.
async fn keep_registered(
    cx: Rc<ControllerContext>,
    fatal: mpsc::Sender<&'static str>,
) {
    loop {
        let (lease_seq, record_seq) = (cx.session.changed.seq(), cx.registration_due.seq());
        let lease = cx
            .session
            .valid_lease()
            .filter(|&lease| cx.registration.is_due(lease));
        if let Some(lease) = lease {
            match cx.registration.write(lease).await {
                Ok(Registered::Written) => Line::new("registered").with("lease", lease).info(),
                Ok(Registered::Conflicted) => {}
                Ok(Registered::Superseded) => {
                    Line::new("superseded").with("vm", cx.me.vm).error();
                    fatal.send("superseded").await.unwrap_or_default();
                    return;
                }
                Err(e) => Line::new("not_registered").with("error", e).warn(),
            }
        }
        tokio::select! {
            _ = cx.session.changed.wait_for_change_after(lease_seq, MAX_STEP_INTERVAL) => {}
            _ = cx.registration_due.wait_for_change_after(record_seq, MAX_STEP_INTERVAL) => {}
        }
        sleep(STEP_DELAY).await;
    }
}

/// Acquires and hands over engines as the fleet, the configuration or the lease changes.
async fn assign(cx: Rc<ControllerContext>) {
    loop {
        let seen = seqs(&cx);
        if !cx.leaving.get() {
            let until = cx.lease_extension.expiry().await;
            cx.assignment.step(until).await;
        }
        wait_for_change(&cx, seen).await;
    }
}

/// Moves this controller to new epochs and, if it may decide, advances the fleet's epoch.
async fn advance_epochs(cx: Rc<ControllerContext>) {
    loop {
        let seen = seqs(&cx);
        if !cx.leaving.get() {
            cx.epoch_follower.step().await;
            let may_decide = cx.fleet_follower.is_synced() && cx.config.is_loaded();
            if may_decide && cx.session.valid_lease().is_some() {
                cx.epochs.step().await;
            }
            cx.budget.resend().await;
        }
        wait_for_change(&cx, seen).await;
    }
}

/// Sends ticks to the ownership state machine and updates metrics and the health heartbeat.
async fn run_ticks(cx: Rc<ControllerContext>) {
    let mut ticks = interval(OWNER_TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cx.engine_owner.handle(OwnerEvent::Tick);
        cx.update_gauges();
        cx.health
            .update(cx.config.is_loaded(), cx.session.expiry(), cx.leaving.get());
    }
}

/// Sequence numbers of the signals that trigger a step.
type Seqs = [u64; 4];

fn seqs(cx: &ControllerContext) -> Seqs {
    [
        cx.fleet_follower.changed().seq(),
        cx.config.changed.seq(),
        cx.session.changed.seq(),
        cx.engine_owner.renewal_requested.seq(),
    ]
}

async fn wait_for_change(
    cx: &ControllerContext,
    seen: Seqs,
) {
    tokio::select! {
        _ = cx.fleet_follower.changed().wait_for_change_after(seen[0], MAX_STEP_INTERVAL) => {}
        _ = cx.config.changed.wait_for_change_after(seen[1], MAX_STEP_INTERVAL) => {}
        _ = cx.session.changed.wait_for_change_after(seen[2], MAX_STEP_INTERVAL) => {}
        _ = cx.engine_owner.renewal_requested.wait_for_change_after(seen[3], MAX_STEP_INTERVAL) => {}
    }
    sleep(STEP_DELAY).await;
}
