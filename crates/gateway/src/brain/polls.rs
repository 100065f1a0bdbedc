//! Long polls of the controllers: configuration, fleet, engines.

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

/// How long a controller may hold a question that has no news.
const CONFIG_WAIT: Millis = Millis(2_000);
/// The same for the fleet.
const FLEET_WAIT: Millis = Millis(2_000);
/// The same for engines, whose load changes all the time.
const UPSTREAMS_WAIT: Millis = Millis(1_000);
/// The pause after a question that nobody answered.
const RETRY: Millis = Millis(200);
/// The least time between two questions about engines: their reports lag by more than that.
const UPSTREAMS_PACE: Millis = Millis(50);
/// The least time between two questions for all engines of an owner of which some are not known.
const ALL_AGAIN: Millis = Millis(1_000);
/// How often it is looked whether other VMs have to confirm the configuration.
const CONFIRM_EVERY: Millis = Millis(1_000);

/// Starts all polls.
pub(super) fn start(core: &Rc<Core>) {
    spawn_local(config(Rc::clone(core)));
    spawn_local(confirm(Rc::clone(core)));
    spawn_local(fleet(Rc::clone(core)));
    spawn_local(upstreams(Rc::clone(core)));
}

/// Follows the configuration, from the own controller or, while that is dead, from the others in turn.
async fn config(core: Rc<Core>) {
    let mut turn = 0;
    loop {
        let have = core.state.borrow().revision();
        if ask_config(&core, turn, have).await {
            turn = 0;
        } else {
            turn += 1;
            sleep(RETRY.to_std()).await;
        }
    }
}

async fn ask_config(
    core: &Rc<Core>,
    turn: usize,
    have: Revision,
) -> bool {
    let controllers = core.controllers();
    let whom = controllers[turn % controllers.len()];
    let answer = core.links.poll_config(whom, have, CONFIG_WAIT).await;
    let Ok(answer) = answer else {
        return false;
    };
    let understood = core.decide(|state| {
        state.take_config(&answer);
        answer.body.is_empty() || state.revision() > have
    });
    if !understood {
        // The edits didn't fit what is here: ask for the whole tree.
        let whole = core
            .links
            .poll_config(whom, Revision::default(), Millis::ZERO)
            .await;
        if let Ok(whole) = whole {
            core.decide(|state| state.take_config(&whole));
        }
        // One that tells nothing of use would be asked again at once, for ever.
        return core.state.borrow().revision() > have;
    }
    true
}

/// While the store confirms nothing, asks the other VMs.
async fn confirm(core: Rc<Core>) {
    loop {
        sleep(CONFIRM_EVERY.to_std()).await;
        let ask = core.state.borrow().vms_to_hear();
        for whom in ask {
            let core = Rc::clone(&core);
            spawn_local(async move {
                let have = core.state.borrow().revision();
                if let Ok(answer) = core.links.poll_config(whom, have, Millis::ZERO).await {
                    core.decide(|state| state.take_config(&answer));
                }
            });
        }
    }
}

/// Follows the fleet, and reports rights when an epoch begins.
async fn fleet(core: Rc<Core>) {
    let mut turn = 0;
    let mut have = 0;
    let mut told = None;
    loop {
        let controllers = core.controllers();
        let (_, address) = controllers[turn % controllers.len()];
        let Ok((seq, answer)) = core.links.poll_fleet(address, have, FLEET_WAIT).await else {
            turn += 1;
            // Another controller counts its changes in its own way.
            have = 0;
            sleep(RETRY.to_std()).await;
            continue;
        };
        // Without news the last answer is taken once more: a report that didn't get through is due again.
        let answer = match told.take() {
            Some(last) if seq == have => last,
            _ => answer,
        };
        have = seq;
        told = Some(answer.clone());
        let report = core.decide(|state| state.take_fleet(answer));
        if let Some((epoch, held)) = report {
            report_holdings(&core, epoch, held).await;
        }
        if turn > 0 {
            // The own controller may be back.
            turn = 0;
            have = 0;
            sleep(RETRY.to_std()).await;
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
            core.state.borrow_mut().reported(epoch);
            return;
        }
    }
}

/// Follows each controller that owns engines, with a task of its own.
async fn upstreams(core: Rc<Core>) {
    let mut tasks: HashMap<VmId, (SocketAddr, JoinHandle<()>)> = HashMap::new();
    loop {
        let owners = {
            let state = core.state.borrow();
            let vms = state.members.owning_vms();
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
                let task = spawn_local(upstreams_of(Rc::clone(&core), vm, address));
                (address, task)
            });
        }
        sleep(RETRY.to_std()).await;
    }
}

async fn upstreams_of(
    core: Rc<Core>,
    vm: VmId,
    address: SocketAddr,
) {
    let mut have = 0;
    let mut told = BTreeMap::new();
    let mut all_asked = Instant::now();
    loop {
        let (seen, held) = {
            let state = core.state.borrow();
            let named = engines_of(&state, vm, &mut told);
            let is_missing_view = named
                .keys()
                .any(|&named| state.router.is_missing_view(named));
            // An owner tells each change once. What came before the configuration that lists the
            // engine was of no use then and is asked for again.
            if is_missing_view && all_asked.elapsed() >= ALL_AGAIN.to_std() {
                have = 0;
            }
            let mut held = state.router.held();
            held.retain(|instance| named.contains_key(&instance.upstream));
            (named.into_iter().collect(), held)
        };
        if have == 0 {
            all_asked = Instant::now();
        }
        let answer = core
            .links
            .poll_upstreams(address, have, UPSTREAMS_WAIT, seen, held)
            .await;
        let Ok(answer) = answer else {
            have = 0;
            sleep(RETRY.to_std()).await;
            continue;
        };
        have = answer.seq;
        let fences = answer.engines.iter();
        told.extend(fences.map(|engine| (engine.upstream, engine.owner_fence)));
        core.decide(|state| state.take_upstreams(vm, answer.engines, answer.recalls));
        sleep(UPSTREAMS_PACE.to_std()).await;
    }
}

/// The engines that a poll of this VM's controller names, with the highest fencing token seen.
///
/// A controller hears only of its own engines. The list of owners lags: an engine that the controller
/// has told of counts as its own until a later token of it is seen. Otherwise a new owner would wait for
/// this gateway's word longer than it has to.
fn engines_of(
    state: &State,
    vm: VmId,
    told: &mut BTreeMap<UpstreamId, Fence>,
) -> BTreeMap<UpstreamId, Fence> {
    told.retain(|&upstream, fence| state.router.seen_fence_of(upstream) <= Some(*fence));
    let upstreams = state.members.owned_by(vm).chain(told.keys().copied());
    upstreams
        .filter_map(|upstream| Some((upstream, state.router.seen_fence_of(upstream)?)))
        .collect()
}
