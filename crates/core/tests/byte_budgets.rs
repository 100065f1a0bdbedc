//! Budgets for the bytes that a VM holds and that upstreams hold of requests.

mod scheduler_world;

use {
    jasmine_core::{
        byte_budget::{ByteBudget, ByteClaim, ByteLimits, ByteUse, Denial, Grant},
        clock::Millis,
        error::ErrorKind,
        ids::UpstreamId,
        scheduler::{AdmissionShare, Job, Outcome, SchedulerSettings},
    },
    scheduler_world::{Decision, World, call},
    std::{collections::HashMap, net::SocketAddr},
};

const MB: u64 = 1 << 20;
const NOW: Millis = Millis(1_000);
/// The most that an upstream may hold in these tests.
const UPSTREAM_BYTES: u64 = 16 * MB;

fn budget() -> ByteBudget {
    ByteBudget::new(ByteLimits::new(16 * MB, 4 * MB))
}

const fn body(bytes: u64) -> ByteClaim {
    ByteClaim {
        use_: ByteUse::Request,
        bytes,
    }
}

fn answer(
    port: u16,
    bytes: u64,
) -> ByteClaim {
    ByteClaim {
        use_: ByteUse::Answer(SocketAddr::from(([127, 0, 0, 1], port))),
        bytes,
    }
}

/// A scheduler with a budget for each of two servers.
fn limited_world(share: AdmissionShare) -> World {
    let settings = SchedulerSettings {
        upstream_bytes: UPSTREAM_BYTES,
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, true);
    world.scheduler.set_admission_share(share);
    for id in 0..2 {
        world.add_server(UpstreamId(id));
    }
    world
}

fn only_scheduler() -> AdmissionShare {
    AdmissionShare::Scheduler {
        took_over_at: None,
        lease_until: Millis(u64::MAX),
    }
}

fn call_with_body(
    world: &World,
    bytes: u64,
) -> Job {
    Job {
        body_bytes: bytes as u32,
        ..call(world.now)
    }
}

/// The bytes that each upstream was given.
fn given(
    world: &World,
    bytes: u64,
) -> HashMap<UpstreamId, u64> {
    let mut given = HashMap::new();
    for decision in world.decisions.values() {
        if let Decision::Sent(upstream, _) = decision {
            *given.entry(*upstream).or_default() += bytes;
        }
    }
    given
}

#[test]
fn claims_stay_within_limits() {
    // Guards against a sum of bodies, answers and short claims beyond the memory that a VM has for them.
    let mut budget = budget();
    for _ in 0..200 {
        for claim in [
            body(MB),
            answer(1, MB),
            answer(2, MB),
            body(60_000),
            answer(1, 60_000),
        ] {
            let _grant = budget.claim(claim, NOW);
        }
        let ahead = ByteClaim {
            use_: ByteUse::ReadAhead,
            bytes: 10_000,
        };
        let _is_held = budget.try_claim(ahead);
    }
    let held = budget.state(NOW);
    assert!(
        held.requests <= 4 * MB && held.answers <= 8 * MB && held.small <= 4 * MB,
        "{held:?}"
    );
    assert!(
        held.requests + held.answers + held.small > 14 * MB,
        "{held:?}"
    );
}

#[test]
fn released_bytes_go_in_order() {
    // Guards against a long body that waits forever, as shorter ones that come later always fit.
    let mut budget = budget();
    assert_eq!(budget.claim(body(3 * MB), NOW), Grant::Held);
    let Grant::Waits(long) = budget.claim(body(4 * MB), NOW) else {
        panic!("a body beyond the limit is held")
    };
    let Grant::Waits(short) = budget.claim(body(MB), NOW) else {
        panic!("a body overtakes one that waits")
    };
    assert_eq!(budget.release(body(3 * MB)), [long]);
    assert_eq!(budget.release(body(4 * MB)), [short]);
    assert_eq!(budget.state(NOW).requests, MB);
}

#[test]
fn short_claims_pass() {
    // Guards against callers with usual requests that wait for those with long bodies and answers.
    let mut budget = budget();
    for port in 0..40 {
        let _grant = budget.claim(body(4 * MB), NOW);
        let _grant = budget.claim(answer(port, 4 * MB), NOW);
    }
    assert_eq!(budget.claim(body(20_000), NOW), Grant::Held);
    assert_eq!(budget.claim(answer(1, 20_000), NOW), Grant::Held);
}

#[test]
fn one_upstream_leaves_room() {
    // Guards against callers of one upstream's answers that read slowly and keep others' answers from being read.
    let mut budget = budget();
    assert_eq!(budget.claim(answer(1, 4 * MB), NOW), Grant::Held);
    assert!(matches!(
        budget.claim(answer(1, 4 * MB), NOW),
        Grant::Waits(_)
    ));
    assert_eq!(budget.claim(answer(2, 4 * MB), NOW), Grant::Held);
}

#[test]
fn withdrawn_claims_unblock() {
    // Guards against claims that wait behind one whose caller has left.
    let mut budget = budget();
    assert_eq!(budget.claim(body(3 * MB), NOW), Grant::Held);
    let Grant::Waits(gone) = budget.claim(body(2 * MB), NOW) else {
        panic!("a body beyond the limit is held")
    };
    let Grant::Waits(next) = budget.claim(body(MB), NOW) else {
        panic!("a body overtakes one that waits")
    };
    assert_eq!(budget.withdraw(gone), [next]);
    assert_eq!(budget.withdraw(gone), []);
}

#[test]
fn oversized_claims_are_denied() {
    // Guards against a request that waits for room that can never be.
    let mut budget = budget();
    let denied = Grant::Denied(Denial::TooLarge);
    assert_eq!(budget.claim(body(4 * MB + 1), NOW), denied);
    assert_eq!(budget.claim(answer(1, u64::MAX), NOW), denied);
}

#[test]
fn waiting_claims_are_bounded() {
    // Guards against a table of waiting claims that grows with the number of callers.
    let mut budget = budget();
    let grants: Vec<Grant> = (0..10_000).map(|_| budget.claim(body(MB), NOW)).collect();
    assert_eq!(grants.last(), Some(&Grant::Denied(Denial::Full)));
    assert!(budget.state(NOW).waiting <= 4_096);
}

#[test]
fn upstreams_stay_within_budget() {
    // Guards against requests whose bodies exceed the memory of the upstream that holds them.
    let mut world = limited_world(only_scheduler());
    let numbers: Vec<u64> = (0..20)
        .map(|_| world.place(call_with_body(&world, 4 * MB)))
        .collect();
    let held = given(&world, 4 * MB);
    assert_eq!(held.len(), 2);
    assert!(
        held.values().all(|&bytes| bytes <= UPSTREAM_BYTES),
        "{held:?}"
    );
    let sent = world.decisions.len();
    // The end of one makes room for the next.
    let first = numbers
        .iter()
        .find(|number| world.decisions.contains_key(number));
    world.end(*first.unwrap(), Outcome::Answered { took: Millis(10) });
    world.advance(20);
    assert_eq!(world.decisions.len(), sent + 1);
}

#[test]
fn full_upstreams_are_passed_over() {
    // Guards against requests that wait for a full upstream while another one has room.
    let mut world = limited_world(only_scheduler());
    for _ in 0..6 {
        world.place(call_with_body(&world, 4 * MB));
    }
    // Both have three quarters of the budget; a request without a body goes on.
    assert_eq!(world.decisions.len(), 6);
    let free = world.place(call_with_body(&world, 0));
    assert!(matches!(
        world.decisions.get(&free),
        Some(Decision::Sent(..))
    ));
}

#[test]
fn impossible_bodies_are_refused() {
    // Guards against a request that no upstream can ever take and that is held until its deadline, or refused for good.
    let mut world = limited_world(only_scheduler());
    let number = world.place(call_with_body(&world, UPSTREAM_BYTES));
    let decision = world.decisions.get(&number);
    assert!(
        matches!(decision, Some(Decision::Refused(refusal)) if refusal.kind == ErrorKind::NoUpstream && refusal.retry_after_secs().is_some()),
        "{decision:?}"
    );
}

#[test]
fn lone_vms_use_parts() {
    // Guards against VMs without a scheduler that exceed the budget of an upstream together.
    let vms: Vec<u64> = (1..=4).collect();
    let bytes = 100_000;
    let mut total: HashMap<UpstreamId, u64> = HashMap::new();
    for &me in &vms {
        let vms = vms.clone();
        let mut world = limited_world(AdmissionShare::Standalone { me, vms });
        for _ in 0..400 {
            world.place(call_with_body(&world, bytes));
        }
        for (upstream, held) in given(&world, bytes) {
            *total.entry(upstream).or_default() += held;
        }
    }
    assert!(
        total
            .values()
            .all(|&held| held > 0 && held <= UPSTREAM_BYTES / 8),
        "{total:?}"
    );
}

#[test]
fn no_limit_by_default() {
    // Guards against a limit on deployments that set none.
    let mut world = World::leading(0);
    world.add_server(UpstreamId(0));
    for _ in 0..6 {
        world.place(call_with_body(&world, 4_000 * MB));
    }
    assert_eq!(world.decisions.len(), 6);
}
