//! Requests under which upstreams end: when they are refused, and what goes on beside them.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{PartId, UpstreamId},
        ingress::PromptPart,
        quarantine::{AttemptEvidence, PartSet, PromptEvidence, RequestEvidence, VerdictSource},
        rights::CallerTag,
        scheduler::{AttemptId, Job, LOCAL_VM, Outcome, UpstreamStatus, Work},
    },
    scheduler_world::{Decision, World, call, generation, upstream},
};

const SERVERS: u32 = 4;
const BAD: u64 = 66;
const OTHER: u64 = 77;
/// Time between two ends, after which the earlier one is evidence.
const GAP: u64 = 500;
const ENDED: AttemptEvidence = AttemptEvidence {
    prompt: PromptEvidence::None,
    request: RequestEvidence::UpstreamEnded,
};

fn world() -> World {
    let mut world = World::leading(0);
    for id in 0..SERVERS {
        world.add_server(UpstreamId(id));
    }
    world
}

/// An attempt of a request.
fn request(
    tag: u64,
    now: Millis,
) -> Job {
    Job {
        caller: CallerTag(tag),
        deadline: now + Millis(5_000),
        objective: now + Millis(4_000),
        ..call(now)
    }
}

fn place(
    world: &mut World,
    tag: u64,
) -> u64 {
    let job = request(tag, world.now);
    world.place(job)
}

fn attempt_id(number: u64) -> AttemptId {
    AttemptId {
        vm: LOCAL_VM,
        number,
    }
}

/// Ends the upstream of an attempt.
fn end(
    world: &mut World,
    number: u64,
) {
    let now = world.now;
    world
        .scheduler
        .note_evidence(attempt_id(number), ENDED, now);
    world.end(number, Outcome::Lost);
}

fn answer(
    world: &mut World,
    number: u64,
) {
    let evidence = AttemptEvidence {
        prompt: PromptEvidence::None,
        request: RequestEvidence::Answered {
            begun_ago: Millis(5),
        },
    };
    let now = world.now;
    world
        .scheduler
        .note_evidence(attempt_id(number), evidence, now);
    world.end(number, Outcome::Answered { took: Millis(20) });
}

/// Sends a request and ends its upstream; returns the upstream, if it was sent.
fn send_and_end(
    world: &mut World,
    tag: u64,
) -> Option<UpstreamId> {
    let number = place(world, tag);
    world.advance(20);
    let upstream = world.sent_to(number)?;
    end(world, number);
    world.advance(GAP);
    Some(upstream)
}

fn is_refused(
    world: &mut World,
    tag: u64,
) -> bool {
    let number = place(world, tag);
    let is_refused = matches!(
        world.decision(number),
        Some(Decision::Refused(refusal)) if refusal.kind == ErrorKind::RequestQuarantined
    );
    world.cancel(number);
    is_refused
}

#[test]
fn three_ends_refuse_a_request() {
    // Guards against a request that is sent to upstream after upstream under other attempt ids.
    let mut world = world();
    for _ in 0..3 {
        assert!(!is_refused(&mut world, BAD));
        assert!(send_and_end(&mut world, BAD).is_some());
    }
    assert!(is_refused(&mut world, BAD));
    assert!(!is_refused(&mut world, OTHER));
}

#[test]
fn waiting_attempts_are_refused() {
    // Guards against attempts that were queued before the third end.
    let mut world = world();
    for _ in 0..2 {
        send_and_end(&mut world, BAD);
    }
    let third = place(&mut world, BAD);
    let waiting = place(&mut world, BAD);
    world.advance(20);
    assert!(world.sent_to(third).is_some());
    assert_eq!(world.decision(waiting), None, "one attempt at a time");
    end(&mut world, third);
    world.advance(GAP);
    let refused = world.decision(waiting);
    assert!(
        matches!(refused, Some(Decision::Refused(refusal)) if refusal.kind == ErrorKind::RequestQuarantined),
        "{refused:?}"
    );
}

#[test]
fn quick_ends_are_awaited() {
    // Guards against a third upstream before the second end is known for one.
    let mut world = world();
    for _ in 0..2 {
        let number = place(&mut world, BAD);
        assert!(world.sent_to(number).is_some());
        world.advance(5);
        end(&mut world, number);
    }
    let third = place(&mut world, BAD);
    world.advance(200);
    assert_eq!(world.decision(third), None);
    world.advance(300);
    assert!(world.sent_to(third).is_some(), "it goes on alone");
}

#[test]
fn a_whole_answer_acquits() {
    // Guards against sound requests that are refused for earlier ends.
    let mut world = world();
    for _ in 0..3 {
        send_and_end(&mut world, OTHER);
        send_and_end(&mut world, OTHER);
        let number = place(&mut world, OTHER);
        world.advance(20);
        answer(&mut world, number);
    }
    assert!(!is_refused(&mut world, OTHER));
}

#[test]
fn upstreams_that_go_on_have_not_ended() {
    // Guards against requests that are refused for connections that alone broke.
    let mut world = world();
    for _ in 0..5 {
        let broken = place(&mut world, OTHER);
        let upstream = world.sent_to(broken).unwrap();
        end(&mut world, broken);
        world.advance(200);
        world.scheduler.note_alive(upstream, world.now);
        world.advance(GAP);
    }
    assert!(!is_refused(&mut world, OTHER));
}

#[test]
fn late_reports_refute_no_refused_connection() {
    // Guards against an end that is struck out as what the upstream had sent before is reported late.
    let mut world = world();
    for _ in 0..3 {
        let number = place(&mut world, BAD);
        world.advance(20);
        let upstream = world.sent_to(number).unwrap();
        let gone = AttemptEvidence {
            request: RequestEvidence::UpstreamGone,
            ..ENDED
        };
        let now = world.now;
        world.scheduler.note_evidence(attempt_id(number), gone, now);
        world.end(number, Outcome::Lost);
        world.advance(200);
        world.scheduler.note_alive(upstream, world.now);
        world.advance(GAP);
    }
    assert!(is_refused(&mut world, BAD));
}

#[test]
fn ends_behind_a_relay_count_before_a_head() {
    // Guards against a request that ends upstreams behind another VM before their heads, which shows nothing of its prompt.
    let mut world = world();
    for _ in 0..3 {
        let number = place(&mut world, BAD);
        world.advance(20);
        let relayed = AttemptEvidence {
            prompt: PromptEvidence::Open { has_broken: true },
            ..ENDED
        };
        let now = world.now;
        let scheduler = &mut world.scheduler;
        scheduler.note_evidence(attempt_id(number), relayed, now);
        world.end(number, Outcome::Lost);
        world.advance(GAP);
    }
    assert!(is_refused(&mut world, BAD));
}

#[test]
fn quick_restarts_are_ends() {
    // Guards against ends of upstreams that are back and answer within a second.
    let mut world = world();
    for start in 2..5 {
        let upstream_id = send_and_end(&mut world, BAD).unwrap();
        let status = UpstreamStatus {
            started_unix_ms: Some(start),
            ..server()
        };
        world.set(upstream_id, &status);
        world.scheduler.note_alive(upstream_id, world.now);
        world.advance(GAP);
    }
    assert!(is_refused(&mut world, BAD));
}

fn server() -> UpstreamStatus {
    UpstreamStatus {
        service: scheduler_world::CALLS,
        slots: 6,
        engine: None,
        ..upstream(None)
    }
}

#[test]
fn suspected_requests_go_apart() {
    // Guards against sound requests that share each upstream with the one that ends them.
    let mut world = world();
    let tags = [BAD, OTHER, 88];
    for _ in 0..2 {
        let numbers = tags.map(|tag| place(&mut world, tag));
        world.advance(5);
        for number in numbers {
            end(&mut world, number);
        }
        world.advance(GAP);
    }
    let numbers = tags.map(|tag| place(&mut world, tag));
    world.advance(20);
    let mut upstreams = numbers.map(|number| world.sent_to(number).unwrap());
    upstreams.sort();
    assert!(
        upstreams.windows(2).all(|two| two[0] != two[1]),
        "{upstreams:?}"
    );
}

#[test]
fn more_suspected_requests_wait() {
    // Guards against suspected requests that share upstreams when there are more of them, or that hold others up.
    let mut world = world();
    let tags: Vec<u64> = (1..=u64::from(SERVERS) + 1).collect();
    for _ in 0..2 {
        let numbers: Vec<u64> = tags.iter().map(|&tag| place(&mut world, tag)).collect();
        world.advance(5);
        for number in numbers {
            end(&mut world, number);
        }
        world.advance(GAP);
    }
    let numbers: Vec<u64> = tags.iter().map(|&tag| place(&mut world, tag)).collect();
    world.advance(20);
    let (last, first) = numbers.split_last().unwrap();
    assert!(first.iter().all(|&one| world.sent_to(one).is_some()));
    assert_eq!(world.decision(*last), None);
    let sound = place(&mut world, 1_000);
    assert!(world.sent_to(sound).is_some(), "others go on");
    answer(&mut world, first[0]);
    world.advance(20);
    assert!(world.sent_to(*last).is_some());
}

#[test]
fn a_held_call_leaves_its_queue() {
    // Guards against a scheduler that ends when a held call is withdrawn while no generation waits.
    let mut world = world();
    world.add_engine(UpstreamId(SERVERS), &[7]);
    let generation = world.generate(7);
    world.advance(20);
    world.end(generation, Outcome::Answered { took: Millis(20) });
    for _ in 0..2 {
        let number = place(&mut world, BAD);
        world.advance(5);
        end(&mut world, number);
    }
    let held = place(&mut world, BAD);
    world.advance(20);
    world.cancel(held);
    let sound = place(&mut world, OTHER);
    assert!(world.sent_to(sound).is_some());
}

#[test]
fn held_requests_hold_no_others_up() {
    // Guards against a held request that others of its account wait behind although they may go on.
    let mut world = world();
    for _ in 0..2 {
        for tag in [BAD, OTHER] {
            let number = place(&mut world, tag);
            world.advance(5);
            end(&mut world, number);
        }
    }
    // The first ones of both are sent alone, the others wait for them.
    let numbers = [BAD, OTHER, BAD, OTHER].map(|tag| place(&mut world, tag));
    world.advance(GAP);
    answer(&mut world, numbers[1]);
    world.advance(20);
    assert_eq!(world.decision(numbers[2]), None);
    assert!(world.sent_to(numbers[3]).is_some());
}

#[test]
fn suspected_requests_get_no_hedge() {
    // Guards against a second upstream while one may end under the request.
    let mut world = world();
    for _ in 0..2 {
        send_and_end(&mut world, BAD);
    }
    let number = place(&mut world, BAD);
    world.advance(20);
    let silent = world.sent_to(number).unwrap();
    let hedge = Job {
        attempt: 2,
        excluded_upstreams: vec![silent],
        is_hedge: true,
        ..request(BAD, world.now)
    };
    let hedge = world.place(hedge);
    assert!(matches!(world.decision(hedge), Some(Decision::Refused(_))));
}

#[test]
fn upstreams_that_end_together_count_once() {
    // Guards against hedged requests that are refused after a power loss of several upstreams.
    let mut world = world();
    let numbers = [1, 2, 3].map(|_| place(&mut world, OTHER));
    world.advance(10);
    let mut upstreams = numbers.map(|number| world.sent_to(number).unwrap());
    upstreams.sort();
    assert!(
        upstreams.windows(2).all(|two| two[0] != two[1]),
        "{upstreams:?}"
    );
    for number in numbers {
        end(&mut world, number);
    }
    world.advance(GAP);
    assert!(!is_refused(&mut world, OTHER));
}

#[test]
fn a_new_scheduler_knows() {
    // Guards against ends and verdicts that are lost with the VM that counted them.
    let mut old = world();
    send_and_end(&mut old, BAD);
    send_and_end(&mut old, BAD);
    for _ in 0..3 {
        send_and_end(&mut old, OTHER);
    }
    let evidence = old.scheduler.crash_evidence(old.now);
    let mut new = world();
    new.scheduler.add_crash_evidence(&evidence, new.now);
    new.advance(GAP);
    assert!(is_refused(&mut new, OTHER));
    assert!(send_and_end(&mut new, BAD).is_some());
    assert!(is_refused(&mut new, BAD));
}

#[test]
fn refused_requests_are_tried_again_later() {
    // Guards against refusals that outlast their cause.
    let mut world = world();
    for _ in 0..3 {
        send_and_end(&mut world, BAD);
    }
    world.advance(590_000);
    assert!(is_refused(&mut world, BAD));
    world.advance(20_000);
    assert!(!is_refused(&mut world, BAD));
}

#[test]
fn requests_push_no_parts_out() {
    // Guards against callers that fill the quarantine with requests.
    let mut world = world();
    let part = PartSet::from([PartId::Part(5)]);
    world
        .scheduler
        .add_quarantine(part.clone(), VerdictSource::Store, world.now);
    for tag in 0..150 {
        let request = PartSet::from([PartId::Request(tag)]);
        world
            .scheduler
            .add_quarantine(request, VerdictSource::Store, world.now);
    }
    let known = world.scheduler.quarantined();
    assert!(known.contains(&part));
    assert_eq!(known.len(), 101);
    assert!(is_refused(&mut world, 149));
}

/// A generation with a shared part and one of its own.
fn prompt(
    tag: u64,
    now: Millis,
) -> Job {
    let mut job = Job {
        caller: CallerTag(tag),
        ..generation(7, now)
    };
    if let Work::Generation(generation) = &mut job.work {
        generation.parts = [1, tag].map(|id| PromptPart { id, tokens: 10 }).to_vec();
        generation.shared_parts = vec![PartId::Part(1)];
    }
    job
}

/// Sends a generation and crashes its engine as it begins to answer; returns whether it was sent.
fn send_and_crash(
    world: &mut World,
    tag: u64,
) -> bool {
    let job = prompt(tag, world.now);
    let number = world.place(job);
    world.advance(20);
    let is_sent = world.sent_to(number).is_some();
    if is_sent {
        let evidence = AttemptEvidence {
            prompt: PromptEvidence::Crash,
            ..ENDED
        };
        let now = world.now;
        world
            .scheduler
            .note_evidence(attempt_id(number), evidence, now);
        world.end(number, Outcome::Lost);
        world.advance(GAP);
    }
    is_sent
}

fn engines() -> World {
    let mut world = World::leading(0);
    for id in 0..8 {
        world.add_engine(UpstreamId(id), &[7]);
    }
    world
}

#[test]
fn one_request_accuses_no_shared_part() {
    // Guards against parts that others share and that are refused for one request's own content.
    let mut world = engines();
    for _ in 0..3 {
        assert!(send_and_crash(&mut world, BAD));
    }
    assert!(!send_and_crash(&mut world, BAD));
    let other = prompt(OTHER, world.now);
    let other = world.place(other);
    world.advance(20);
    assert!(
        world.sent_to(other).is_some(),
        "{:?}",
        world.decision(other)
    );
}

#[test]
fn requests_hide_no_crashing_part() {
    // Guards against a part that each of several repeated requests explains anew.
    let mut world = engines();
    let mut crashes = 0;
    for tag in [BAD, OTHER, 88, 99] {
        while send_and_crash(&mut world, tag) {
            crashes += 1;
        }
    }
    assert!(crashes <= 5, "{crashes} crashes");
}
