//! Ends of upstreams as evidence: what was under way there is accused, however its connection looked.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{PartId, UpstreamId},
        ingress::{PromptPart, shared_parts},
        quarantine::{
            AttemptEvidence, CrashEvidence, CrashReport, PartSet, PromptEvidence, PromptReport,
            RequestEvidence,
        },
        rights::CallerTag,
        scheduler::{EngineStatus, Job, Outcome, UpstreamStatus, Work},
    },
    scheduler_world::{World, attempt_id, engine, generation, upstream},
    std::collections::BTreeMap,
};

const ENGINES: u32 = 8;
const ADAPTER: u32 = 7;
const FIRST: u64 = 1;
const BAD: u64 = 2;
const OTHER: u64 = 3;
/// Crashes after which a part has to be known.
const MAX_CRASHES: usize = 5;
/// Time from the end of an engine to its next start.
const RESTART_TIME: u64 = 1_600;
const GIVEN_UP: PromptEvidence = PromptEvidence::Open { has_broken: false };
const BROKEN: PromptEvidence = PromptEvidence::Open { has_broken: true };

/// A leader before engines that report their starts.
struct Site {
    world: World,
    starts: BTreeMap<UpstreamId, u64>,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            world: World::leading(0),
            starts: (0..ENGINES).map(|id| (UpstreamId(id), 1)).collect(),
        };
        for id in (0..ENGINES).map(UpstreamId) {
            site.world.add_engine(id, &[ADAPTER]);
            site.report(id);
        }
        site
    }

    fn status(
        &self,
        id: UpstreamId,
    ) -> EngineStatus {
        EngineStatus {
            started_unix_ms: Some(self.starts[&id]),
            ..engine(Some(0), &[ADAPTER])
        }
    }

    fn report(
        &mut self,
        id: UpstreamId,
    ) {
        let status = self.status(id);
        self.world.report(id, &status);
    }

    /// Sends a prompt with these parts and one of its own; returns its number and its engine, unless it is refused or waits.
    fn send(
        &mut self,
        parts: &[u64],
    ) -> Option<(u64, UpstreamId)> {
        let job = prompt(parts, self.world.now);
        let number = self.world.place(job);
        self.world.advance(20);
        Some((number, self.world.sent_to(number)?))
    }

    fn end(
        &mut self,
        number: u64,
        prompt: PromptEvidence,
        outcome: Outcome,
    ) {
        let now = self.world.now;
        let evidence = AttemptEvidence {
            prompt,
            request: RequestEvidence::None,
        };
        let scheduler = &mut self.world.scheduler;
        scheduler.note_evidence(attempt_id(number), evidence, now);
        self.world.end(number, outcome);
    }

    /// Ends an engine under a prompt that shows this, and starts it again; returns whether the prompt was sent.
    fn end_engine(
        &mut self,
        parts: &[u64],
        shows: PromptEvidence,
        outcome: Outcome,
    ) -> bool {
        let Some((number, id)) = self.send(parts) else {
            return false;
        };
        self.end(number, shows, outcome);
        self.world.advance(RESTART_TIME);
        *self.starts.get_mut(&id).unwrap() += 1;
        self.report(id);
        self.world.advance(500);
        true
    }

    fn refused(&self) -> Vec<PartSet> {
        self.world.scheduler.quarantined()
    }

    fn assert_found(
        &mut self,
        shows: PromptEvidence,
        outcome: Outcome,
    ) {
        let (number, _) = self.send(&[FIRST, OTHER]).unwrap();
        let sound = PromptEvidence::Sound {
            begun_ago: Millis(10),
        };
        let answered = Outcome::Answered { took: Millis(20) };
        self.end(number, sound, answered);
        let ends = (0..20).filter(|_| self.end_engine(&[FIRST, BAD], shows, outcome));
        let ends = ends.count();
        assert!(ends <= MAX_CRASHES, "{ends} ends");
        let bad = PartSet::from([PartId::Part(BAD)]);
        assert!(self.refused().contains(&bad), "{:?}", self.refused());
    }
}

fn prompt(
    parts: &[u64],
    now: Millis,
) -> Job {
    let mut job = generation(ADAPTER, now);
    job.caller = CallerTag(now.0);
    if let Work::Generation(generation) = &mut job.work {
        let ids = parts.iter().copied().chain([u64::MAX - now.0]);
        generation.parts = ids.map(|id| PromptPart { id, tokens: 10 }).collect();
        generation.shared_parts = shared_parts(&generation.parts).collect();
    }
    job
}

#[test]
fn silent_ends_count() {
    // Guards against a part whose engines fall silent, and are given up before they start anew.
    Site::new().assert_found(GIVEN_UP, Outcome::Silent);
    Site::new().assert_found(GIVEN_UP, Outcome::Abandoned);
}

#[test]
fn ends_before_a_head_count() {
    // Guards against a part whose engines end before their answers begin, where no connection was refused.
    Site::new().assert_found(BROKEN, Outcome::Lost);
}

#[test]
fn answers_given_up_accuse_nothing() {
    // Guards against refusing prompts that callers leave or that lose their answers, at engines that go on.
    for shows in [GIVEN_UP, BROKEN] {
        let mut site = Site::new();
        for _ in 0..20 {
            let (number, id) = site.send(&[FIRST, OTHER]).expect("not refused");
            site.end(number, shows, Outcome::Abandoned);
            site.world.advance(300);
            site.report(id);
            site.world.advance(300);
        }
        assert!(!site.world.scheduler.has_crashes());
    }
}

#[test]
fn restarts_after_signs_of_life_accuse_nothing() {
    // Guards against accusing what an engine had outlived as it is restarted later.
    let mut site = Site::new();
    let (number, id) = site.send(&[FIRST, OTHER]).unwrap();
    site.end(number, GIVEN_UP, Outcome::Silent);
    site.world.advance(300);
    site.report(id);
    site.starts.insert(id, 2);
    site.report(id);
    assert!(!site.world.scheduler.has_crashes());
}

#[test]
fn entries_tell_restarts() {
    // Guards against an end that only the engine's new entry tells.
    let mut site = Site::new();
    let (number, id) = site.send(&[FIRST, BAD]).unwrap();
    site.end(number, GIVEN_UP, Outcome::Silent);
    site.world.advance(RESTART_TIME);
    let status = UpstreamStatus {
        started_unix_ms: Some(2),
        ..upstream(Some(site.status(id)))
    };
    site.world.set(id, &status);
    assert!(site.world.scheduler.has_crashes());
}

#[test]
fn late_entries_tell_nothing_new() {
    // Guards against counting one restart twice, by the engine's report and by its entry.
    let mut site = Site::new();
    let (_, id) = site.send(&[FIRST, OTHER]).unwrap();
    site.starts.insert(id, 2);
    site.report(id);
    let (number, _) = loop {
        let sent = site.send(&[FIRST, OTHER]).expect("not refused");
        if sent.1 == id {
            break sent;
        }
    };
    site.end(number, GIVEN_UP, Outcome::Silent);
    let status = UpstreamStatus {
        started_unix_ms: Some(2),
        ..upstream(Some(site.status(id)))
    };
    site.world.set(id, &status);
    assert!(!site.world.scheduler.has_crashes());
}

#[test]
fn a_new_run_refutes_no_crash() {
    // Guards against striking out a crash as its engine, which has started anew at once, is heard.
    let mut site = Site::new();
    let mut ends = 0;
    while let Some((number, id)) = site.send(&[FIRST, BAD]) {
        ends += 1;
        assert!(ends <= MAX_CRASHES, "{ends} ends");
        site.end(number, PromptEvidence::Crash, Outcome::Lost);
        *site.starts.get_mut(&id).unwrap() += 1;
        site.world.advance(200);
        let now = site.world.now;
        site.world.scheduler.note_alive(id, now);
        site.report(id);
        site.world.advance(2_000);
    }
    assert!(!site.refused().is_empty());
}

#[test]
fn the_same_run_refutes_a_crash() {
    // Guards against refusing parts because engines break answers off and go on, as their reports tell.
    let mut site = Site::new();
    for _ in 0..20 {
        let (number, id) = site.send(&[FIRST, OTHER]).expect("not refused");
        site.end(number, PromptEvidence::Crash, Outcome::Lost);
        site.world.advance(200);
        site.report(id);
        site.world.advance(500);
    }
    assert!(!site.world.scheduler.has_crashes());
}

#[test]
fn an_engine_is_asked_for_its_start() {
    // Guards against a crash that counts before the engine that goes on was asked.
    let mut site = Site::new();
    let (number, id) = site.send(&[FIRST, OTHER]).unwrap();
    site.world.reports_asked.clear();
    site.end(number, PromptEvidence::Crash, Outcome::Lost);
    site.world.advance(200);
    assert_eq!(site.world.reports_asked, [id]);
}

#[test]
fn late_reports_are_of_the_closest_crash() {
    // Guards against taking a crash that is told late for the next one of its engine.
    let mut site = Site::new();
    let told = |ago, part| CrashReport {
        upstream: UpstreamId(0),
        ago: Millis(ago),
        prompts: vec![PromptReport {
            parts: vec![PartId::Part(part)],
            sent_ago: Millis(ago + 30),
        }],
        requests: Vec::new(),
    };
    let now = site.world.now;
    for report in [told(3_200, BAD), told(1_600, OTHER), told(3_000, BAD)] {
        let evidence = CrashEvidence {
            crashes: vec![report],
            sound: Vec::new(),
        };
        site.world.scheduler.add_crash_evidence(&evidence, now);
    }
    let known = site.world.scheduler.crash_evidence(now);
    let parts = known.crashes.iter().map(|crash| crash.prompts.len());
    assert_eq!(parts.collect::<Vec<_>>(), [1, 1]);
}
