//! Long polls of the controllers for configuration, fleet and engines.

use {
    super::{Core, State},
    jasmine_core::{
        clock::Millis,
        ids::{Epoch, Fence, Revision, UpstreamId, VmId},
        rights::Right,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Instant,
    },
    tokio::{
        task::{JoinHandle, spawn_local},
        time::sleep,
    },
};

/// How long a controller may hold a configuration poll without changes.
const CONFIG_POLL_WAIT: Millis = Millis(2_000);
/// How long a controller may hold a fleet poll without changes.
const FLEET_POLL_WAIT: Millis = Millis(2_000);
/// How long a controller may hold an engine poll without changes; shorter as load changes often.
const ENGINES_POLL_WAIT: Millis = Millis(1_000);
/// Delay after a failed poll, and the interval at which the list of owners is checked.
const RETRY_DELAY: Millis = Millis(200);
/// Minimum time between two engine polls of one owner.
const ENGINES_POLL_INTERVAL: Millis = Millis(50);
/// Minimum time between two full engine polls of an owner while some of its engines are unknown.
const FULL_POLL_INTERVAL: Millis = Millis(1_000);
/// Interval of the check whether other VMs have to confirm the configuration.
const CONFIRM_INTERVAL: Millis = Millis(1_000);

/// Spawns all polling tasks.
pub(super) fn start(core: &Rc<Core>) {
    spawn_local(poll_config(Rc::clone(core)));
    spawn_local(poll_for_config_confirmation(Rc::clone(core)));
    spawn_local(poll_fleet(Rc::clone(core)));
    spawn_local(poll_all_engines(Rc::clone(core)));
}

/// Polls the local controller for the configuration; while that fails, the others in turn.
async fn poll_config(core: Rc<Core>) {
    let mut controller_index = 0;
    loop {
        let have = core.state.borrow().revision();
        if poll_config_once(&core, controller_index, have).await {
            controller_index = 0;
        } else {
            controller_index += 1;
            sleep(RETRY_DELAY.to_std()).await;
        }
    }
}

async fn poll_config_once(
    core: &Rc<Core>,
    controller_index: usize,
    have: Revision,
) -> bool {
    let controllers = core.controllers();
    let controller = controllers[controller_index % controllers.len()];
    let response = core
        .links
        .poll_config(controller, have, CONFIG_POLL_WAIT)
        .await;
    let Ok(response) = response else {
        return false;
    };
    let is_applied = core.update(|state| {
        state.apply_config(&response);
        response.body.is_empty() || state.revision() > have
    });
    if !is_applied {
        // The edits don't apply to the current tree: request the whole tree.
        let tree_response = core
            .links
            .poll_config(controller, Revision::default(), Millis::ZERO)
            .await;
        if let Ok(tree_response) = tree_response {
            core.update(|state| state.apply_config(&tree_response));
        }
        // Without progress this counts as a failure, which avoids a busy loop on this controller.
        return core.state.borrow().revision() > have;
    }
    true
}

/// Polls other VMs for a confirmation of the configuration while the store gives none.
async fn poll_for_config_confirmation(core: Rc<Core>) {
    loop {
        sleep(CONFIRM_INTERVAL.to_std()).await;
        let controllers = core.state.borrow().vms_to_poll();
        for controller in controllers {
            let core = Rc::clone(&core);
            spawn_local(async move {
                let have = core.state.borrow().revision();
                if let Ok(response) = core.links.poll_config(controller, have, Millis::ZERO).await {
                    core.update(|state| state.apply_config(&response));
                }
            });
        }
    }
}

/// Polls for the fleet, and reports the rights held when an epoch begins.
async fn poll_fleet(core: Rc<Core>) {
    let mut controller_index = 0;
    let mut have = 0;
    let mut last_response = None;
    loop {
        let controllers = core.controllers();
        let (_, address) = controllers[controller_index % controllers.len()];
        let Ok((seq, response)) = core.links.poll_fleet(address, have, FLEET_POLL_WAIT).await
        else {
            controller_index += 1;
            // Sequence numbers are local to a controller.
            have = 0;
            sleep(RETRY_DELAY.to_std()).await;
            continue;
        };
        // Without a change the last response is applied again, which retries a failed report.
        let response = match last_response.take() {
            Some(last) if seq == have => last,
            _ => response,
        };
        have = seq;
        last_response = Some(response.clone());
        let report = core.update(|state| state.apply_fleet(response));
        if let Some((epoch, held)) = report {
            report_holdings(&core, epoch, held).await;
        }
        if controller_index > 0 {
            // Try the local controller again.
            controller_index = 0;
            have = 0;
            sleep(RETRY_DELAY.to_std()).await;
        }
    }
}

async fn report_holdings(
    core: &Rc<Core>,
    epoch: Epoch,
    held: Vec<Right>,
) {
    for (_, address) in core.controllers() {
        let reported = core
            .links
            .report_holdings(address, epoch, held.clone())
            .await;
        if reported.is_ok() {
            core.state.borrow_mut().note_reported_epoch(epoch);
            return;
        }
    }
}

/// Runs one polling task per controller that owns engines.
async fn poll_all_engines(core: Rc<Core>) {
    let mut tasks: HashMap<VmId, (SocketAddr, JoinHandle<()>)> = HashMap::new();
    loop {
        let owners = {
            let state = core.state.borrow();
            let vms = state.members.owner_vms();
            vms.into_iter()
                .filter_map(|vm| Some((vm, state.members.controller(vm)?)))
                .collect::<HashMap<_, _>>()
        };
        tasks.retain(|vm, (address, task)| {
            let keep = owners.get(vm) == Some(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for (vm, address) in owners {
            tasks.entry(vm).or_insert_with(|| {
                let task = spawn_local(poll_engines(Rc::clone(&core), vm, address));
                (address, task)
            });
        }
        sleep(RETRY_DELAY.to_std()).await;
    }
}

async fn poll_engines(
    core: Rc<Core>,
    vm: VmId,
    address: SocketAddr,
) {
    let mut have = 0;
    let mut reported_fences = BTreeMap::new();
    let mut last_full_poll = Instant::now();
    loop {
        let (seen, held) = {
            let state = core.state.borrow();
            let polled = engines_to_poll(&state, vm, &mut reported_fences);
            let is_missing_view = polled
                .keys()
                .any(|&polled| state.router.is_missing_view(polled));
            // An owner sends each change once. A view that arrived before the configuration listed
            // its engine was ignored, so all engines are requested again.
            if is_missing_view && last_full_poll.elapsed() >= FULL_POLL_INTERVAL.to_std() {
                have = 0;
            }
            let mut held = state.router.held();
            held.retain(|instance| polled.contains_key(&instance.upstream));
            (polled.into_iter().collect(), held)
        };
        if have == 0 {
            last_full_poll = Instant::now();
        }
        let response = core
            .links
            .poll_upstreams(address, have, ENGINES_POLL_WAIT, seen, held)
            .await;
        let Ok(response) = response else {
            have = 0;
            sleep(RETRY_DELAY.to_std()).await;
            continue;
        };
        have = response.seq;
        let fences = response.engines.iter();
        reported_fences.extend(fences.map(|engine| (engine.upstream, engine.owner_fence)));
        core.update(|state| state.apply_engine_views(vm, response.engines, response.recalls));
        sleep(ENGINES_POLL_INTERVAL.to_std()).await;
    }
}

/// The engines to list in a poll of this VM's controller, with the highest fencing token seen.
///
/// These are the engines that the controller owns. As the list of owners lags, they include engines that the
/// controller has reported, until a higher fencing token is seen. Otherwise a new owner would wait longer for
/// this gateway's confirmation of its token.
fn engines_to_poll(
    state: &State,
    vm: VmId,
    reported_fences: &mut BTreeMap<UpstreamId, Fence>,
) -> BTreeMap<UpstreamId, Fence> {
    reported_fences.retain(|&upstream, fence| state.router.seen_fence_of(upstream) <= Some(*fence));
    let upstreams = state
        .members
        .owned_by(vm)
        .chain(reported_fences.keys().copied());
    upstreams
        .filter_map(|upstream| Some((upstream, state.router.seen_fence_of(upstream)?)))
        .collect()
}
