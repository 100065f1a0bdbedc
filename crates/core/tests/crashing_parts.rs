//! Prompt parts that crash engines: which are found, and which stay in service.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{AdapterId, PartId, UpstreamId},
        ingress::{PromptPart, shared_parts},
        quarantine::{
            AnswerEnd, AnswerTrace, AttemptEvidence, CrashCandidates, CrashEvidence, CrashReport,
            PartSet, PromptEvidence, PromptReport, RequestEvidence, SoundReport, VerdictSource,
        },
        scheduler::{AttemptId, Job, LOCAL_VM, Outcome, RateShare, Work},
    },
    scheduler_world::{Decision, World, generation},
    std::ops::Range,
};

/// Crashes after which a part has to be known.
const MAX_CRASHES: usize = 5;
/// Crashes without which no part is refused.
const MIN_CRASHES: usize = 3;
/// Requests with a part that may reach engines once it has to be known.
const MAX_LATE: usize = 3;
/// Time between two crashes.
const CRASH_GAP: u64 = 400;
const FIRST: u64 = 1;
const BAD: u64 = 2;
const OTHER: u64 = 3;
const SECOND_BAD: u64 = 4;
const ENGINES: u32 = 8;

fn world() -> World {
    let mut world = World::leading(0);
    for id in 0..ENGINES {
        world.add_engine(UpstreamId(id), &[7]);
    }
    world
}

/// A world in which answers have shown these adapters to be sound.
fn world_with_adapters(adapters: Range<u64>) -> World {
    let mut world = world();
    for adapter in adapters {
        let job = prompt_with_adapter(&[FIRST, OTHER], adapter, world.now);
        assert!(answer_job(&mut world, job));
    }
    world
}

/// Sends a request that crashes its engine, and answers a sound prompt with an adapter; returns whether it was sent.
fn crash_beside_sound(
    world: &mut World,
    job: Job,
    adapter: u64,
) -> bool {
    let is_sent = crash_with(world, job);
    let sound = prompt_with_adapter(&[FIRST, OTHER], adapter, world.now);
    assert!(answer_job(world, sound));
    world.advance(3_000);
    is_sent
}

fn remove_engines(world: &mut World) {
    for id in 0..ENGINES {
        world.scheduler.remove_upstream(UpstreamId(id), world.now);
    }
}

/// A generation whose prompt has these parts and one of its own.
fn prompt(
    parts: &[u64],
    now: Millis,
) -> Job {
    let mut job = generation(7, now);
    if let Work::Generation(generation) = &mut job.work {
        let ids = parts.iter().copied().chain([u64::MAX - now.0]);
        let part = |id| PromptPart { id, tokens: 10 };
        generation.parts = ids.map(part).collect();
        generation.shared_parts = shared_parts(&generation.parts).collect();
    }
    job
}

/// The same with an adapter.
fn prompt_with_adapter(
    parts: &[u64],
    adapter: u64,
    now: Millis,
) -> Job {
    let mut job = prompt(parts, now);
    if let Work::Generation(generation) = &mut job.work {
        generation.shared_parts.push(PartId::Adapter(adapter));
    }
    job
}

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        vm: LOCAL_VM,
        number,
    }
}

/// Evidence that says nothing about requests as a whole.
const fn about_prompt(prompt: PromptEvidence) -> AttemptEvidence {
    AttemptEvidence {
        prompt,
        request: RequestEvidence::None,
    }
}

fn is_quarantined(
    world: &mut World,
    parts: &[u64],
) -> bool {
    let number = world.place(prompt(parts, world.now));
    let is_refused = matches!(
        world.decision(number),
        Some(Decision::Refused(refusal)) if refusal.kind == ErrorKind::PromptQuarantined
    );
    if !is_refused {
        world.end(number, Outcome::Abandoned);
    }
    is_refused
}

/// Crashes the engine that a prompt is sent to; returns whether it was sent.
fn crash(
    world: &mut World,
    parts: &[u64],
) -> bool {
    let job = prompt(parts, world.now);
    crash_with(world, job)
}

fn crash_with(
    world: &mut World,
    job: Job,
) -> bool {
    let number = world.place(job);
    world.advance(20);
    let is_sent = world.sent_to(number).is_some();
    if is_sent {
        let now = world.now;
        let scheduler = &mut world.scheduler;
        scheduler.note_evidence(attempt(number), about_prompt(PromptEvidence::Crash), now);
        world.end(number, Outcome::Lost);
    }
    world.advance(CRASH_GAP);
    is_sent
}

/// Answers a prompt.
fn answer(
    world: &mut World,
    parts: &[u64],
) {
    assert!(answer_if_sent(world, parts), "{parts:?} not sent");
}

/// Answers a prompt, unless it isn't sent.
fn answer_if_sent(
    world: &mut World,
    parts: &[u64],
) -> bool {
    let job = prompt(parts, world.now);
    answer_job(world, job)
}

/// Answers a request, unless it isn't sent.
fn answer_job(
    world: &mut World,
    job: Job,
) -> bool {
    let number = world.place(job);
    world.advance(20);
    if world.sent_to(number).is_none() {
        return false;
    }
    let evidence = PromptEvidence::Sound {
        begun_ago: Millis(10),
    };
    let now = world.now;
    world
        .scheduler
        .note_evidence(attempt(number), about_prompt(evidence), now);
    world.end(number, Outcome::Answered { took: Millis(20) });
    true
}

/// A report of an upstream that crashed so long ago, under a prompt with these parts that was sent so long ago.
fn report(
    (id, ago, sent_ago): (u32, u64, u64),
    parts: &[u64],
) -> CrashReport {
    let prompt = PromptReport {
        parts: parts.iter().map(|&part| PartId::Part(part)).collect(),
        sent_ago: Millis(sent_ago),
    };
    CrashReport {
        upstream: UpstreamId(id),
        ago: Millis(ago),
        prompts: vec![prompt],
        requests: Vec::new(),
    }
}

/// Tells the scheduler of crashes, as another VM does.
fn tell(
    world: &mut World,
    crashes: &[CrashReport],
) {
    let evidence = CrashEvidence {
        crashes: crashes.to_vec(),
        sound: Vec::new(),
    };
    world.scheduler.add_crash_evidence(&evidence, world.now);
}

fn crashes_until_known(
    world: &mut World,
    parts: &[u64],
) -> usize {
    (0..20).take_while(|_| crash(world, parts)).count()
}

#[test]
fn a_part_is_known_after_few_crashes() {
    // Guards against a crashing part that is sent to engine after engine.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let crashes = crashes_until_known(&mut world, &[FIRST, BAD]);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(is_quarantined(&mut world, &[OTHER, BAD]), "other prompts");
    assert!(
        !is_quarantined(&mut world, &[FIRST, OTHER]),
        "sound prompts"
    );
}

#[test]
fn an_adapter_is_found_as_well() {
    // Guards against an adapter whose weights crash engine after engine, under prompts that share nothing else.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let mut crashes = 0;
    for round in 0..20 {
        let job = prompt_with_adapter(&[100 + round, 200 + round], BAD, world.now);
        if !crash_with(&mut world, job) {
            break;
        }
        crashes += 1;
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]), "without it");
}

#[test]
fn a_part_names_no_adapter() {
    // Guards against a caller that gets an adapter refused by giving a part of its crashing prompts the adapter's id.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    crashes_until_known(&mut world, &[FIRST, BAD]);
    let job = prompt_with_adapter(&[FIRST, OTHER], BAD, world.now);
    let number = world.place(job);
    world.advance(20);
    assert!(world.sent_to(number).is_some());
    let texts = ["bad0", "adapter.bad0"].map(|text| text.parse::<PartId>().unwrap());
    assert_eq!(texts, [PartId::Part(0xbad0), PartId::Adapter(0xbad0)]);
    assert_eq!(texts.map(|part| part.to_string()), ["bad0", "adapter.bad0"]);
    assert!("adapter.".parse::<PartId>().is_err());
}

#[test]
fn a_part_that_was_sound_is_found_as_well() {
    // Guards against answers from before a part began to crash engines that clear it for good.
    let mut world = world();
    answer(&mut world, &[FIRST, BAD]);
    for _ in 0..MAX_CRASHES {
        crash(&mut world, &[FIRST, BAD]);
        answer(&mut world, &[FIRST, OTHER]);
    }
    assert!(is_quarantined(&mut world, &[OTHER, BAD]));
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_suspected_part_goes_one_at_a_time() {
    // Guards against many crashes while the evidence is weighed, and against holding other prompts for it.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for _ in 0..2 {
        crash(&mut world, &[FIRST, BAD]);
    }
    let numbers: Vec<u64> = (0..6)
        .map(|_| world.place(prompt(&[FIRST, BAD], world.now)))
        .collect();
    let sound = world.place(prompt(&[FIRST, OTHER], world.now));
    world.advance(100);
    let sent = numbers.iter().filter(|&&one| world.sent_to(one).is_some());
    assert_eq!(sent.count(), 1);
    assert!(world.sent_to(sound).is_some(), "another prompt waits");
    let evidence = PromptEvidence::Sound {
        begun_ago: Millis(10),
    };
    let now = world.now;
    world
        .scheduler
        .note_evidence(attempt(numbers[0]), about_prompt(evidence), now);
    world.end(numbers[0], Outcome::Answered { took: Millis(90) });
    world.advance(100);
    let sent = numbers.iter().filter(|&&one| world.sent_to(one).is_some());
    assert_eq!(sent.count(), 6, "a sound part goes on");
}

#[test]
fn ordinary_crashes_convict_no_part() {
    // Guards against refusing sound prompts because engines crash under them now and then.
    let mut world = world();
    for round in 0..50 {
        let part = OTHER + round % 4;
        crash(&mut world, &[FIRST, part]);
        crash(&mut world, &[FIRST, part]);
        answer(&mut world, &[FIRST, part]);
    }
    for part in OTHER..OTHER + 4 {
        assert!(!is_quarantined(&mut world, &[FIRST, part]), "part {part}");
    }
}

#[test]
fn truncated_answers_are_no_crashes() {
    // Guards against refusing parts of prompts because faulty engines break answers off and go on.
    let mut world = world();
    for _ in 0..20 {
        let broken = world.place(prompt(&[FIRST, BAD], world.now));
        world.advance(20);
        let upstream = world.sent_to(broken).expect("not refused");
        let now = world.now;
        let scheduler = &mut world.scheduler;
        scheduler.note_evidence(attempt(broken), about_prompt(PromptEvidence::Crash), now);
        world.end(broken, Outcome::Lost);
        world.advance(200);
        let now = world.now;
        world.scheduler.note_alive(upstream, now);
        world.advance(500);
    }
    assert!(!is_quarantined(&mut world, &[FIRST, BAD]));
}

#[test]
fn a_sound_part_is_tried_before_it_is_refused() {
    // Guards against refusing what most prompts share for good, as no engine was left that could have cleared it.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for round in 0..3 {
        crash(&mut world, &[FIRST, 100 + round]);
    }
    remove_engines(&mut world);
    world.advance(5_000);
    for id in 0..ENGINES {
        world.add_engine(UpstreamId(id), &[7]);
    }
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
    answer(&mut world, &[FIRST, OTHER]);
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_power_loss_convicts_no_part() {
    // Guards against refusing a part whose requests ran on several engines that ended at once.
    let mut world = world();
    let numbers: Vec<u64> = (0..u64::from(ENGINES))
        .map(|_| world.place(prompt(&[FIRST, OTHER], world.now)))
        .collect();
    let sent_at = world.now;
    world.advance(20);
    let now = world.now;
    for (id, number) in (0..).zip(numbers) {
        let parts = [PartId::Part(FIRST), PartId::Part(OTHER)];
        let scheduler = &mut world.scheduler;
        let candidates = CrashCandidates {
            shared: &parts,
            request: PartId::Request(u64::from(id)),
        };
        let evidence = about_prompt(PromptEvidence::Crash);
        scheduler.note_own_evidence(UpstreamId(id), candidates, evidence, sent_at, now);
        world.end(number, Outcome::Lost);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_part_beside_the_crashing_one_stays_in_service() {
    // Guards against refusing what was only ever seen beside the crashing part.
    let mut world = world();
    let crashes = crashes_until_known(&mut world, &[FIRST, BAD]);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
    answer(&mut world, &[FIRST, OTHER]);
    assert!(is_quarantined(&mut world, &[OTHER, BAD]), "told apart");
}

#[test]
fn two_crashing_parts_leave_their_first_part_in_service() {
    // Guards against refusing what two crashing parts share at a VM that has seen no sound prompt with it.
    let mut world = world();
    for part in [BAD, SECOND_BAD, BAD] {
        crash(&mut world, &[FIRST, part]);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
    answer(&mut world, &[FIRST, OTHER]);
    let rest = [BAD, SECOND_BAD].map(|part| crashes_until_known(&mut world, &[FIRST, part]));
    assert!(rest.iter().all(|&crashes| crashes <= 2), "{rest:?} more");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]), "told apart");
}

#[test]
fn three_parts_beside_a_new_one_are_weighed() {
    // Guards against refusing what three crashing prompts share, each with another part, before any other was tried.
    let mut world = world();
    for part in [BAD, SECOND_BAD, OTHER] {
        crash(&mut world, &[FIRST, part]);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, 100]));
    crash(&mut world, &[FIRST, 101]);
    assert!(is_quarantined(&mut world, &[FIRST, 100]), "one more crash");
}

#[test]
fn a_crash_that_is_noticed_late_counts_once() {
    // Guards against an answer that ends with its upstream, is missed by its VM for seconds, and counts as a crash more.
    let mut world = world();
    let crashes = [
        (1, 4_000, 4_050, BAD),
        (2, 3_000, 3_050, BAD),
        (2, 1_000, 3_040, OTHER),
    ];
    let reports = crashes.map(|(id, ago, sent, part)| report((id, ago, sent), &[FIRST, part]));
    tell(&mut world, &reports);
    world.advance(3_000);
    let known = world.scheduler.crash_evidence(world.now).crashes;
    assert_eq!(known.len(), 2);
}

#[test]
fn two_crashing_parts_are_found_without_sound_prompts() {
    // Guards against two crashing parts that hide each other, and that take their first part out of service together.
    let mut world = world();
    let mut crashes = 0;
    for round in 0..20 {
        let part = if round % 2 == 0 { BAD } else { SECOND_BAD };
        crashes += usize::from(crash(&mut world, &[FIRST, part]));
        world.advance(2_000);
    }
    assert!(crashes <= 2 * MIN_CRASHES, "{crashes} crashes");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn two_crashing_parts_leave_a_sound_first_part_in_service() {
    // Guards against refusing a part that sound prompts shared just before two others began to crash engines.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for part in [BAD, SECOND_BAD, BAD, SECOND_BAD] {
        crash(&mut world, &[FIRST, part]);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn parts_that_were_sound_leave_their_first_part_in_service() {
    // Guards against refusing what two parts share that were sound until they began to crash engines.
    let mut world = world();
    for part in [BAD, SECOND_BAD, OTHER] {
        answer(&mut world, &[FIRST, part]);
    }
    for part in [BAD, SECOND_BAD, BAD, SECOND_BAD, SECOND_BAD] {
        crash(&mut world, &[FIRST, part]);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
    answer(&mut world, &[FIRST, OTHER]);
    let rest = [BAD, SECOND_BAD].map(|part| crashes_until_known(&mut world, &[FIRST, part]));
    assert!(rest.iter().all(|&crashes| crashes <= 2), "{rest:?} more");
}

#[test]
fn a_part_is_found_beside_one_that_was_sound_later() {
    // Guards against waiting for answers that acquit a first part while nothing but another part explains all crashes.
    let mut world = world();
    answer(&mut world, &[FIRST, BAD]);
    answer(&mut world, &[FIRST, OTHER]);
    crash(&mut world, &[FIRST, BAD]);
    answer(&mut world, &[FIRST, OTHER]);
    let crashes = 1 + crashes_until_known(&mut world, &[FIRST, BAD]);
    assert!(crashes <= MIN_CRASHES + 1, "{crashes} crashes");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_first_part_is_found_under_repeated_prompts() {
    // Guards against a crashing part that requests of several kinds share, each of which crashes two engines.
    let mut world = world();
    let crashes = (0..40).filter(|round| {
        let is_sent = crash(&mut world, &[FIRST, 100 + round / 2]);
        world.advance(2_000);
        is_sent
    });
    let crashes = crashes.count();
    assert!(crashes <= MAX_CRASHES + MAX_LATE, "{crashes} crashes");
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_first_part_is_found_beside_parts_refused_with_it() {
    // Guards against a crashing part of which only the sets with other parts are ever refused.
    let mut world = world();
    let crashes = (0..60).filter(|round| {
        let is_sent = crash(&mut world, &[FIRST, 100 + round / 3]);
        world.advance(2_000);
        is_sent
    });
    let crashes = crashes.count();
    assert!(crashes <= MAX_CRASHES + MAX_LATE, "{crashes} crashes");
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn links_that_break_are_one_crash() {
    // Guards against a VM's links that are reset and break answers of several engines at one moment.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let crashes = [
        (0, 5_000, 5_050),
        (1, 3_000, 3_050),
        (2, 2_990, 3_040),
        (3, 2_980, 3_060),
    ];
    let reports = crashes.map(|crash| report(crash, &[FIRST, OTHER]));
    tell(&mut world, &reports);
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn crashes_in_quick_succession_count() {
    // Guards against taking for one crash what a request does to one engine right after the other.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let crashes = [(4, 2_000, 2_050), (5, 1_950, 1_990), (6, 1_900, 1_940)];
    let reports = crashes.map(|crash| report(crash, &[FIRST, BAD]));
    tell(&mut world, &reports);
    world.advance(3_000);
    assert!(is_quarantined(&mut world, &[FIRST, BAD]));
}

#[test]
fn crashes_of_one_upstream_are_one_witness() {
    // Guards against refusing what an upstream was asked for that crashed by itself time after time.
    let mut world = world();
    let crashes = [(0, 5_616, 5_700), (0, 4_091, 4_200), (0, 2_309, 2_400)];
    let reports = crashes.map(|crash| report(crash, &[BAD]));
    tell(&mut world, &reports);
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[BAD]));
    tell(&mut world, &[report((1, 500, 600), &[BAD])]);
    world.advance(500);
    assert!(is_quarantined(&mut world, &[BAD]), "a second witness");
}

#[test]
fn late_reports_make_no_new_evidence() {
    // Guards against a VM's reports that reach a suspended leader late, and then seem to speak of later prompts.
    let mut world = world();
    let crashes = [(1, 300, 700), (2, 299, 700), (3, 298, 700)];
    let reports = crashes.map(|crash| report(crash, &[FIRST, OTHER]));
    for _ in 0..2 {
        tell(&mut world, &reports);
        world.advance(900);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn prompts_in_the_queue_are_refused() {
    // Guards against queued prompts that are still sent after the verdict.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    remove_engines(&mut world);
    let queued = world.place(prompt(&[FIRST, BAD], world.now));
    assert_eq!(world.decision(queued), None, "it waits");
    let reports: Vec<CrashReport> = (0..3)
        .map(|id| {
            let ago = 500 * u64::from(id) + 500;
            report((id, ago, ago + 100), &[FIRST, BAD])
        })
        .collect();
    tell(&mut world, &reports);
    world.advance(50);
    let decision = world.decision(queued);
    assert!(
        matches!(decision, Some(Decision::Refused(refusal)) if refusal.kind == ErrorKind::PromptQuarantined),
        "{decision:?}"
    );
}

#[test]
fn what_several_vms_saw_counts_once() {
    // Guards against one crash that several VMs report and that counts as several.
    let mut world = world();
    for _ in 0..10 {
        tell(&mut world, &[report((1, 0, 0), &[BAD])]);
    }
    world.advance(3_000);
    assert!(!is_quarantined(&mut world, &[BAD, OTHER]));
}

#[test]
fn a_released_part_is_served_again() {
    // Guards against a part that stays refused after operators have taken it out of quarantine.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    crashes_until_known(&mut world, &[FIRST, BAD]);
    let parts = PartSet::from([PartId::Part(BAD)]);
    assert_eq!(world.scheduler.quarantined(), vec![parts.clone()]);
    let now = world.now;
    let operator = VerdictSource::Store;
    world.scheduler.remove_quarantine(&parts, operator, now);
    assert!(!is_quarantined(&mut world, &[FIRST, BAD]));
}

#[test]
fn answers_tell_what_they_show() {
    // Guards against taking an answer for a sound one that wasn't whole, and an end of its upstream for nothing.
    let trace = |begun_ago, received_for, end| {
        let trace = AnswerTrace {
            begun_ago,
            received_for: Millis(received_for),
            end,
        };
        trace.evidence()
    };
    let begun = Some(Millis(2_000));
    let sound = PromptEvidence::Sound {
        begun_ago: Millis(2_000),
    };
    assert_eq!(trace(begun, 0, AnswerEnd::Whole), sound);
    assert_eq!(trace(begun, 80, AnswerEnd::Broken), PromptEvidence::Crash);
    let broken = PromptEvidence::Open { has_broken: true };
    let given_up = PromptEvidence::Open { has_broken: false };
    assert_eq!(trace(begun, 1_500, AnswerEnd::Broken), broken);
    assert_eq!(trace(None, 0, AnswerEnd::Broken), broken);
    assert_eq!(trace(begun, 80, AnswerEnd::Closed), given_up);
    for received_for in [80, 1_500] {
        let trace = |end| trace(begun, received_for, end);
        assert_eq!(trace(AnswerEnd::GivenUp), given_up);
        assert_eq!(trace(AnswerEnd::UpstreamGone), PromptEvidence::Crash);
    }
    let gone = trace(None, 0, AnswerEnd::UpstreamGone);
    assert_eq!(gone, PromptEvidence::Crash);
}

#[test]
fn answers_that_break_after_silence_are_open() {
    // Guards against taking for crashes what silent upstreams cut off seconds after they had begun it.
    let trace = AnswerTrace {
        begun_ago: Some(Millis(2_760)),
        received_for: Millis(20),
        end: AnswerEnd::Broken,
    };
    let broken = PromptEvidence::Open { has_broken: true };
    assert_eq!(trace.evidence(), broken);
}

#[test]
fn a_first_part_beside_new_parts_is_tried_again() {
    // Guards against refusing the sound first part of several new parts that crash engines, as each is in one prompt only.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for part in 100..104 {
        assert!(crash(&mut world, &[FIRST, part]));
    }
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
    answer(&mut world, &[FIRST, OTHER + 1]);
    for part in 104..107 {
        assert!(crash(&mut world, &[FIRST, part]));
    }
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn a_part_that_was_sound_is_probed_rarely() {
    // Guards against a bad release of the engines that keeps their prompts out of service after it is mended.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for round in 0..10 {
        crash(&mut world, &[FIRST, 100 + round]);
    }
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]));
    let probe_until_sent = |world: &mut World| {
        (0..600).find(|_| {
            world.advance(1_000);
            !is_quarantined(world, &[FIRST, OTHER])
        })
    };
    let first = probe_until_sent(&mut world).expect("a first probe");
    assert!(first >= 55, "after {first} s");
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]), "one at a time");
    let second = probe_until_sent(&mut world).expect("a second probe");
    assert!(second >= 110, "after {second} s");
    world.advance(300_000);
    answer(&mut world, &[FIRST, OTHER]);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]), "it is mended");
}

#[test]
fn a_part_that_never_was_sound_is_not_probed() {
    // Guards against engines that are lost to see whether a part still crashes them.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    crashes_until_known(&mut world, &[FIRST, BAD]);
    for _ in 0..20 {
        world.advance(60_000);
        assert!(is_quarantined(&mut world, &[FIRST, BAD]));
    }
}

#[test]
fn another_adapter_in_each_prompt() {
    // Guards against engines that are lost to a refused part, as another adapter explains each of its crashes as well.
    let mut world = world_with_adapters(100..140);
    let crashes = (140..180).filter(|&adapter| {
        let job = prompt_with_adapter(&[FIRST, BAD], adapter, world.now);
        crash_beside_sound(&mut world, job, adapter - 40)
    });
    let crashes = crashes.count();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
}

#[test]
fn parts_of_one_adapter() {
    // Guards against a sound part that is refused with every adapter, as it mostly comes with one that crashes engines.
    let mut world = world_with_adapters(100..140);
    let crashes = (0..20).filter(|_| {
        let job = prompt_with_adapter(&[FIRST, SECOND_BAD], BAD, world.now);
        crash_beside_sound(&mut world, job, 100)
    });
    let crashes = crashes.count();
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    let with_another = prompt_with_adapter(&[FIRST, SECOND_BAD], 101, world.now);
    assert!(answer_job(&mut world, with_another));
    let beside_another = prompt_with_adapter(&[FIRST, 200], BAD, world.now);
    crash_with(&mut world, beside_another);
    let refused = prompt_with_adapter(&[FIRST, 201], BAD, world.now);
    assert!(!crash_with(&mut world, refused), "the adapter alone");
}

#[test]
fn adapters_of_other_prompts() {
    // Guards against a sound part that is refused untried, as its engines crashed under prompts with other adapters.
    let mut world = world_with_adapters(100..140);
    let crashes = (0..3).map(|id| {
        let ago = 900 * u64::from(id) + 500;
        let mut crash = report((id, ago, ago + 100), &[FIRST, SECOND_BAD]);
        crash.prompts.push(PromptReport {
            parts: vec![PartId::Part(FIRST), PartId::Adapter(u64::from(id))],
            sent_ago: Millis(ago + 100),
        });
        crash
    });
    let crashes: Vec<CrashReport> = crashes.collect();
    tell(&mut world, &crashes);
    world.advance(100);
    assert!(world.scheduler.quarantined().is_empty());
    answer(&mut world, &[FIRST, SECOND_BAD]);
}

#[test]
fn adapters_that_nobody_knows() {
    // Guards against a sound part that is refused untried after a loss of all VMs, as several adapters crashed engines.
    let mut world = world_with_adapters(100..110);
    let crashes = (0..3).map(|id| {
        let ago = 900 * u64::from(id) + 500;
        let mut crash = report((id, ago, ago + 100), &[FIRST, SECOND_BAD]);
        crash.prompts[0].parts.push(PartId::Adapter(u64::from(id)));
        crash
    });
    let crashes: Vec<CrashReport> = crashes.collect();
    tell(&mut world, &crashes);
    world.advance(100);
    assert!(world.scheduler.quarantined().is_empty());
    answer(&mut world, &[FIRST, SECOND_BAD]);
}

#[test]
fn probes_minutes_after_the_verdict() {
    // Guards against engines that are lost long after a part was refused, as another part explains each of its crashes.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let mut sent = Vec::new();
    for session in 0..1_500 {
        if crash(&mut world, &[FIRST, BAD, 100 + session]) {
            sent.push(world.now);
        }
        if session % 2 == 0 {
            crash(&mut world, &[FIRST, 10_000 + session]);
        }
        answer(&mut world, &[FIRST, OTHER]);
        world.advance(2_000);
    }
    let known_at = sent[MAX_CRASHES.min(sent.len()) - 1];
    let late = sent.iter().filter(|&&at| at > known_at + Millis(3_000));
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} late of {}", sent.len());
}

#[test]
fn probes_of_a_new_leader() {
    // Guards against a new leader that spends on probes of a refused part what its predecessor has spent already.
    let mut world = world();
    let crash_beside = |world: &mut World, session: u64| {
        let is_sent = crash(world, &[FIRST, BAD, session]);
        answer(world, &[FIRST, OTHER]);
        world.advance(2_000);
        is_sent
    };
    answer(&mut world, &[FIRST, OTHER]);
    for session in 100..150 {
        crash_beside(&mut world, session);
    }
    let evidence = world.scheduler.crash_evidence(world.now);
    let verdicts = world.scheduler.quarantined();
    assert_eq!(verdicts, [PartSet::from([PartId::Part(BAD)])]);
    let mut next = self::world();
    next.advance(1_000);
    next.scheduler.add_crash_evidence(&evidence, next.now);
    for verdict in verdicts {
        let now = next.now;
        let actions = next
            .scheduler
            .add_quarantine(verdict, VerdictSource::Vm, now);
        next.apply(actions);
    }
    let sent = (150..200).filter(|&session| crash_beside(&mut next, session));
    assert_eq!(sent.count(), 0);
}

#[test]
fn an_acquitted_part_goes_at_full_rate() {
    // Guards against a sound part that goes one request at a time long after an answer has cleared it.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for round in 0..3 {
        crash(&mut world, &[FIRST, 100 + round]);
    }
    world.advance(3_000);
    answer(&mut world, &[FIRST, OTHER]);
    world.advance(100);
    let numbers: Vec<u64> = (0..4)
        .map(|_| world.place(prompt(&[FIRST, OTHER], world.now)))
        .collect();
    world.advance(100);
    let sent = numbers.iter().filter(|&&one| world.sent_to(one).is_some());
    assert_eq!(sent.count(), 4);
}

#[test]
fn acquitted_requests_wait_for_their_own_adapters() {
    // Guards against requests that were held for a trial and then wait for each other's adapters.
    let mut world = World::leading(0);
    for id in 0..ENGINES {
        world.add_engine(UpstreamId(id), &[7, 8]);
    }
    for _ in 0..2 {
        crash(&mut world, &[FIRST, BAD]);
    }
    let trial = world.place(prompt(&[FIRST, BAD], world.now));
    world.advance(100);
    assert!(world.sent_to(trial).is_some());
    let mut absent = prompt(&[FIRST, BAD], world.now);
    if let Work::Generation(generation) = &mut absent.work {
        generation.adapter = Some(AdapterId(9));
    }
    world.engines_answer = false;
    let absent = world.place(absent);
    let present = world.place(prompt(&[FIRST, BAD], world.now));
    world.advance(50);
    assert_eq!(world.sent_to(present), None, "held");
    let evidence = PromptEvidence::Sound {
        begun_ago: Millis(10),
    };
    let now = world.now;
    world
        .scheduler
        .note_evidence(attempt(trial), about_prompt(evidence), now);
    world.end(trial, Outcome::Answered { took: Millis(90) });
    world.advance(200);
    assert_eq!(world.sent_to(absent), None, "its adapter isn't loaded");
    assert!(world.sent_to(present).is_some(), "it waits for another's");
}

#[test]
fn what_is_kept_is_bounded() {
    // Guards against a flood of crashing parts that fills the memory, or that a review never comes to an end with.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for part in 1_000..1_400 {
        for crash in 0..3 {
            let id = (part * 3 + crash) as u32;
            let (ago, sent_ago) = (1_900 - crash * 500, 2_000 - crash * 500);
            let parts: Vec<u64> = (part..part + 40).collect();
            tell(&mut world, &[report((id, ago, sent_ago), &parts)]);
        }
        world.advance(2_000);
    }
    let count = world.scheduler.quarantined().len();
    assert!(count <= 100, "{count} verdicts");
    let kept = world.scheduler.crash_evidence(world.now).crashes.len();
    assert!(kept <= 256, "{kept} crashes");
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

/// A new leader with engines of its own that is told what another scheduler knows.
fn successor(of: &World) -> World {
    let mut next = world();
    next.now = of.now;
    let evidence = of.scheduler.crash_evidence(of.now);
    next.scheduler.add_crash_evidence(&evidence, next.now);
    next
}

#[test]
fn parts_refused_together_are_found_alone() {
    // Guards against crashes under two parts together that excuse each of them when it comes alone.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    crashes_until_known(&mut world, &[FIRST, BAD, SECOND_BAD]);
    answer(&mut world, &[FIRST, OTHER]);
    world.advance(3_000);
    for part in [BAD, SECOND_BAD] {
        let crashes = crashes_until_known(&mut world, &[FIRST, part]);
        assert!(crashes <= MAX_LATE, "{crashes} crashes");
    }
}

#[test]
fn prompts_on_one_engine_are_told_apart() {
    // Guards against refusing parts together that never came in one prompt, only on one engine.
    let mut world = world();
    let reports: Vec<CrashReport> = (0..4)
        .map(|id| {
            let ago = 800 * u64::from(id) + 500;
            let mut one = report((id, ago, ago + 100), &[FIRST, BAD]);
            let other = report((id, ago, ago + 100), &[OTHER, SECOND_BAD]);
            one.prompts.extend(other.prompts);
            one
        })
        .collect();
    tell(&mut world, &reports);
    world.advance(3_000);
    let verdicts = world.scheduler.quarantined();
    let is_mixed = |parts: &PartSet| {
        let has = |part| parts.contains(&PartId::Part(part));
        (has(FIRST) || has(BAD)) && (has(OTHER) || has(SECOND_BAD))
    };
    assert!(!verdicts.iter().any(is_mixed), "{verdicts:?}");
}

#[test]
fn a_new_leader_knows_what_was_sound() {
    // Guards against a new leader that refuses what several crashing parts share, as it doesn't know the answers before.
    let mut old = world();
    answer(&mut old, &[FIRST, OTHER]);
    for _ in 0..2 {
        crash(&mut old, &[FIRST, BAD]);
    }
    let mut new = successor(&old);
    crashes_until_known(&mut new, &[FIRST, BAD]);
    new.advance(3_000);
    let parts = PartSet::from([PartId::Part(BAD)]);
    assert_eq!(new.scheduler.quarantined(), [parts]);
}

#[test]
fn a_verdict_falls_with_its_evidence() {
    // Guards against a verdict that outlives all crashes it rests on, as the answer that acquits them came in after it.
    let mut old = world();
    for round in 0..4 {
        crash(&mut old, &[FIRST, 100 + round]);
    }
    assert!(is_quarantined(&mut old, &[FIRST, OTHER]));
    let verdicts = old.scheduler.quarantined();
    let mut new = successor(&old);
    for parts in verdicts {
        let now = new.now;
        let actions = new
            .scheduler
            .add_quarantine(parts, VerdictSource::Store, now);
        new.apply(actions);
    }
    new.advance(100);
    let sound = CrashEvidence {
        crashes: Vec::new(),
        sound: vec![SoundReport {
            part: PartId::Part(FIRST),
            ago: Millis(300),
        }],
    };
    new.scheduler.add_crash_evidence(&sound, new.now);
    assert!(!is_quarantined(&mut new, &[FIRST, OTHER]));
}

#[test]
fn crashes_in_a_burst_are_no_trials() {
    // Guards against a sound first part that is refused as many new parts crash all engines within milliseconds.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    world.advance(1_000);
    let crashes: Vec<CrashReport> = (0..ENGINES)
        .map(|id| {
            let ago = 30 - 2 * u64::from(id);
            report((id, ago, ago + 1), &[FIRST, 100 + u64::from(id)])
        })
        .collect();
    tell(&mut world, &crashes);
    world.advance(1_500);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn known_parts_go_one_at_a_time() {
    // Guards against parts that were sound, crash all engines at once and are sent to all of them as they are back.
    let mut world = world();
    let bad = [BAD, SECOND_BAD];
    for part in bad {
        answer(&mut world, &[FIRST, part]);
    }
    world.advance(1_000);
    let crashes: Vec<CrashReport> = (0..ENGINES)
        .map(|id| report((id, 10, 60), &[FIRST, bad[id as usize % 2]]))
        .collect();
    tell(&mut world, &crashes);
    world.advance(2_000);
    for part in bad {
        assert!(crash(&mut world, &[FIRST, part]));
    }
    answer(&mut world, &[FIRST, OTHER]);
    let numbers = bad.map(|part| {
        let numbers: Vec<u64> = (0..6)
            .map(|_| world.place(prompt(&[FIRST, part], world.now)))
            .collect();
        numbers
    });
    world.advance(100);
    let sent = |numbers: &Vec<u64>| {
        let sent = numbers.iter().filter(|&&one| world.sent_to(one).is_some());
        sent.count()
    };
    assert_eq!([1, 1], [sent(&numbers[0]), sent(&numbers[1])]);
}

#[test]
fn parts_with_alternatives_are_refused_in_time() {
    // Guards against a part that is tried on and on, as parts that each came with it a few times explain its crashes.
    let mut world = world();
    let others = [100, 101, 102];
    for other in others {
        answer(&mut world, &[FIRST, BAD, other]);
    }
    let mut known_at = None;
    let mut late = 0;
    for (round, other) in others.into_iter().cycle().take(30).enumerate() {
        let is_late = known_at.is_some_and(|at| world.now.since(at) > Millis(3_000));
        if !crash(&mut world, &[FIRST, BAD, other]) {
            break;
        }
        late += usize::from(is_late);
        known_at = known_at.or((round + 1 == MAX_CRASHES).then_some(world.now));
        answer(&mut world, &[FIRST, OTHER]);
        world.advance(3_000);
    }
    for _ in 0..10 {
        late += usize::from(crash(&mut world, &[FIRST, OTHER, BAD]));
        answer(&mut world, &[FIRST, OTHER]);
        world.advance(3_000);
    }
    assert!(late <= MAX_LATE, "{late} late");
    assert!(is_quarantined(&mut world, &[OTHER, BAD]));
}

#[test]
fn shared_parts_that_were_sound_are_tried_soon() {
    // Guards against a first part that is refused for a minute, as each of its trials met another crashing part.
    let mut world = world();
    let others = 100..130;
    for other in others.clone() {
        answer(&mut world, &[FIRST, other]);
    }
    for other in others {
        if !crash(&mut world, &[FIRST, other]) {
            break;
        }
    }
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]));
    let is_served = |world: &mut World| {
        world.advance(80);
        answer_if_sent(world, &[FIRST, OTHER])
    };
    let tries = (0..50).find(|_| is_served(&mut world));
    assert!(tries.is_some(), "not within 5 s");
    answer(&mut world, &[FIRST, OTHER]);
    assert!(!is_quarantined(&mut world, &[FIRST, OTHER]));
}

#[test]
fn reports_accuse_nothing_that_was_sound_later() {
    // Guards against crashes that a VM tells late, and that accuse again what answers have acquitted since.
    let mut world = world();
    let reports = [(1, 3_000, 3_100), (2, 2_000, 2_100), (3, 1_000, 1_100)];
    let reports = reports.map(|crash| report(crash, &[FIRST, BAD]));
    answer(&mut world, &[FIRST, BAD]);
    tell(&mut world, &reports);
    world.advance(3_000);
    assert!(world.scheduler.crash_evidence(world.now).crashes.is_empty());
    assert!(!is_quarantined(&mut world, &[FIRST, BAD]));
}

#[test]
fn the_least_suspect_prompt_is_tried_first() {
    // Guards against trials of a shared part under prompts that crash engines by another one.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for part in [BAD, SECOND_BAD, BAD] {
        crash(&mut world, &[FIRST, part]);
    }
    let number = world.place(prompt(&[FIRST, SECOND_BAD], world.now));
    world.advance(20);
    let upstream = world.sent_to(number).expect("a trial");
    let now = world.now;
    let evidence = about_prompt(PromptEvidence::Crash);
    let scheduler = &mut world.scheduler;
    scheduler.note_evidence(attempt(number), evidence, now);
    world.end(number, Outcome::Lost);
    world.scheduler.remove_upstream(upstream, world.now);
    let suspect = world.place(prompt(&[FIRST, BAD], world.now));
    world.advance(20);
    let sound = world.place(prompt(&[FIRST, OTHER], world.now));
    world.advance(600);
    assert!(world.sent_to(sound).is_some(), "it shows most");
    assert!(world.sent_to(suspect).is_none());
}

#[test]
fn a_part_that_may_be_shared_is_probed_early() {
    // Guards against a first part that stays refused after several others crashed engines beside it, as nothing clears it.
    let mut world = world();
    for round in 0..5 {
        crash(&mut world, &[FIRST, 100 + round]);
    }
    assert!(is_quarantined(&mut world, &[FIRST, OTHER]));
    world.advance(2_000);
    assert!(is_quarantined(&mut world, &[FIRST, 100]), "another suspect");
    answer(&mut world, &[FIRST, OTHER]);
    assert!(!is_quarantined(&mut world, &[FIRST, SECOND_BAD]));
}

#[test]
fn a_part_that_may_be_shared_is_probed_for_good() {
    // Guards against a first part that is refused for good, as its trials and first probes all met other crashing parts.
    let mut world = world();
    let crashes = (0..100).filter(|round| {
        let is_sent = crash(&mut world, &[FIRST, 100 + round]);
        world.advance(1_000);
        is_sent
    });
    let crashes = crashes.count();
    assert!(crashes <= MAX_CRASHES + MAX_LATE, "{crashes} crashes");
    let is_served = (0..600).any(|_| {
        world.advance(1_000);
        !is_quarantined(&mut world, &[FIRST, OTHER])
    });
    assert!(is_served, "never probed again");
}

#[test]
fn trials_share_no_engine() {
    // Guards against crashes under two suspects at once, which show nothing of either.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for part in [BAD, SECOND_BAD, BAD, SECOND_BAD] {
        crash(&mut world, &[FIRST, part]);
        answer(&mut world, &[FIRST, OTHER]);
    }
    for id in 1..ENGINES {
        world.scheduler.remove_upstream(UpstreamId(id), world.now);
    }
    let [one, other] = [BAD, SECOND_BAD].map(|part| {
        let number = world.place(prompt(&[FIRST, part], world.now));
        world.advance(20);
        number
    });
    let sound = world.place(prompt(&[FIRST, OTHER], world.now));
    world.advance(100);
    assert!(world.sent_to(one).is_some());
    assert!(world.sent_to(sound).is_some(), "others go on");
    assert!(world.sent_to(other).is_none());
}

#[test]
fn followers_reach_no_verdicts() {
    // Guards against verdicts by the few crashes that one VM's callers have met, told to the next leader.
    let mut world = world();
    world
        .scheduler
        .set_role(false, RateShare::Part(2), world.now);
    world.scheduler.begin_following();
    let crashes = (0..5).map(|id| {
        let ago = 900 * u64::from(id) + 500;
        report((id, ago, ago + 100), &[FIRST, BAD])
    });
    let crashes: Vec<CrashReport> = crashes.collect();
    tell(&mut world, &crashes);
    world.advance(5_000);
    assert!(world.scheduler.quarantined().is_empty());
    world.scheduler.begin_standalone(world.now);
    world.advance(2_000);
    assert!(!world.scheduler.quarantined().is_empty());
}

#[test]
fn suspects_wait_for_a_leader() {
    // Guards against one trial at each VM that decides alone until another one leads.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    for _ in 0..2 {
        crash(&mut world, &[FIRST, BAD]);
    }
    world.scheduler.begin_standalone(world.now);
    let suspect = world.place(prompt(&[FIRST, BAD], world.now));
    let sound = world.place(prompt(&[FIRST, OTHER], world.now));
    world.advance(1_000);
    assert!(world.sent_to(suspect).is_none());
    assert!(world.sent_to(sound).is_some());
    world.advance(1_000);
    assert!(world.sent_to(suspect).is_some(), "nobody leads");
}

#[test]
fn refuted_verdicts_are_not_taken_over() {
    // Guards against a verdict of a VM that decided alone, though answers at others have shown the part to be sound.
    let mut world = world();
    answer(&mut world, &[FIRST, OTHER]);
    let parts = |part| PartSet::from([PartId::Part(part)]);
    for part in [FIRST, BAD] {
        let now = world.now;
        let actions = world
            .scheduler
            .add_quarantine(parts(part), VerdictSource::Vm, now);
        world.apply(actions);
    }
    assert_eq!(world.scheduler.quarantined(), [parts(BAD)]);
}
