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

/// How often the owner's machine is told that time has passed.
const OWNER_TICK: Duration = Duration::from_millis(100);

/// How long a change of the fleet or of the lease may wait to be acted upon.
const STEP_WAIT: Millis = Millis(1_000);

/// The least time between two steps, so that changes that come together share one.
const STEP_PAUSE: Duration = Duration::from_millis(50);

/// The longest that the start waits for a first look at the fleet.
const FIRST_LOOK: Duration = Duration::from_millis(2_500);

/// Steps of the first look.
const FIRST_LOOK_STEP: Duration = Duration::from_millis(25);

/// Starts everything that runs beside the servers.
///
/// `fatal` is told why this run may not go on.
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
    spawn_local(register(Rc::clone(cx), fatal.clone()));
    spawn_local(own(Rc::clone(cx)));
    spawn_local(keep_epochs(Rc::clone(cx)));
    spawn_local(tick(Rc::clone(cx)));
}

/// Follows the configuration once the fleet is known, so that most VMs ask others and not the store.
async fn follow_config(cx: Rc<ControllerContext>) {
    let steps = FIRST_LOOK.as_millis() / FIRST_LOOK_STEP.as_millis();
    for _ in 0..steps {
        if cx.fleet_follower.is_read() {
            break;
        }
        sleep(FIRST_LOOK_STEP).await;
    }
    cx.config_follower.run().await;
}

/// Keeps this VM's record in the store as it is here, under the newest lease.
async fn register(
    cx: Rc<ControllerContext>,
    fatal: mpsc::Sender<&'static str>,
) {
    loop {
        let (lease_seq, record_seq) = (cx.session.changed.seq(), cx.registration_due.seq());
        let lease = cx
            .session
            .sure()
            .filter(|&lease| cx.registration.is_due(lease));
        if let Some(lease) = lease {
            match cx.registration.write(lease).await {
                Ok(Registered::Yes) => Line::new("registered").with("lease", lease).info(),
                Ok(Registered::Raced) => {}
                Ok(Registered::Superseded) => {
                    Line::new("superseded").with("vm", cx.me.vm).error();
                    fatal.send("superseded").await.unwrap_or_default();
                    return;
                }
                Err(e) => Line::new("not_registered").with("error", e).warn(),
            }
        }
        tokio::select! {
            _ = cx.session.changed.changed_from(lease_seq, STEP_WAIT) => {}
            _ = cx.registration_due.changed_from(record_seq, STEP_WAIT) => {}
        }
        sleep(STEP_PAUSE).await;
    }
}

/// Takes and hands over engines as fleet, configuration and lease change.
async fn own(cx: Rc<ControllerContext>) {
    loop {
        let seen = seqs(&cx);
        if !cx.leaving.get() {
            let until = cx.outage.until().await;
            cx.assignment.step(until).await;
        }
        wait_for_change(&cx, seen).await;
    }
}

/// Takes this controller from epoch to epoch and, on duty, moves the epoch on.
async fn keep_epochs(cx: Rc<ControllerContext>) {
    loop {
        let seen = seqs(&cx);
        if !cx.leaving.get() {
            cx.own_epoch.step().await;
            let may_decide = cx.fleet_follower.is_synced() && cx.config.is_loaded();
            if may_decide && cx.session.sure().is_some() {
                cx.epochs.step().await;
            }
            cx.budget.resend().await;
        }
        wait_for_change(&cx, seen).await;
    }
}

/// Lets time pass for the owner's machine and shows the status port that this thread is alive.
async fn tick(cx: Rc<ControllerContext>) {
    let mut ticks = interval(OWNER_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cx.desk.handle(OwnerEvent::Tick);
        cx.note_figures();
        cx.health
            .note(cx.config.is_loaded(), cx.session.until(), cx.leaving.get());
    }
}

type Seqs = [u64; 4];

fn seqs(cx: &ControllerContext) -> Seqs {
    [
        cx.fleet_follower.changed().seq(),
        cx.config.changed.seq(),
        cx.session.changed.seq(),
        cx.desk.renew.seq(),
    ]
}

async fn wait_for_change(
    cx: &ControllerContext,
    seen: Seqs,
) {
    tokio::select! {
        _ = cx.fleet_follower.changed().changed_from(seen[0], STEP_WAIT) => {}
        _ = cx.config.changed.changed_from(seen[1], STEP_WAIT) => {}
        _ = cx.session.changed.changed_from(seen[2], STEP_WAIT) => {}
        _ = cx.desk.renew.changed_from(seen[3], STEP_WAIT) => {}
    }
    sleep(STEP_PAUSE).await;
}
