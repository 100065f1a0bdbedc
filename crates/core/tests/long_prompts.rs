//! Long prompts on engines with running streams.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{DataCentreId, UpstreamId},
        scheduler::{Job, Outcome, UpstreamStatus, Work},
    },
    scheduler_world::{World, engine, generation, upstream},
};

/// Longest acceptable pause of a stream.
const MAX_GAP: Millis = Millis(600);
const NEAR: UpstreamId = UpstreamId(0);
const FAR: UpstreamId = UpstreamId(1);
const STREAMS: usize = 8;
/// Tokens of a long prompt, and its prefill time.
const LONG_PROMPT_TOKENS: u32 = 18_000;
const PREFILL_TIME: Millis = Millis(600);

fn job(
    tokens: u32,
    gap: Option<Millis>,
    now: Millis,
) -> Job {
    let mut job = generation(1, now);
    if let Work::Generation(generation) = &mut job.work {
        generation.size.prompt = tokens;
        generation.parts.clear();
    }
    Job {
        gap_objective: gap,
        ..job
    }
}

/// Sends long prompts one after another while streams run on the engine near the callers.
///
/// Returns how many streams paused for too long and how many long prompts were in time.
fn run(gap: Option<Millis>) -> (usize, usize) {
    let mut world = World::leading(0);
    world.add_engine(NEAR, &[1]);
    let far = UpstreamStatus {
        data_centre: Some(DataCentreId(1)),
        ..upstream(Some(engine(None, &[1])))
    };
    world.set(FAR, &far);
    world.report(FAR, &engine(Some(0), &[1]));
    for _ in 0..STREAMS {
        let stream = world.place(job(400, gap, world.now));
        assert_eq!(world.sent_to(stream), Some(NEAR));
        world.advance(20);
        world.first_event(stream);
    }
    let (mut paused, mut timely) = (0, 0);
    for _ in 0..5 {
        let asked = world.now;
        let long = world.place(job(LONG_PROMPT_TOKENS, gap, world.now));
        let sent = world.sent_to(long).expect("an engine is idle");
        if sent == NEAR {
            // Prefill takes as long as the longest acceptable pause and stalls all streams of the
            // engine.
            paused = STREAMS;
        }
        world.advance(PREFILL_TIME.0);
        world.first_event(long);
        let took = world.now.since(asked);
        timely += usize::from(took <= Millis(1_000));
        world.end(long, Outcome::Answered { took });
        world.advance(200);
    }
    (paused, timely)
}

#[test]
fn long_prompts_avoid_engines_with_streams() {
    // Guards against long prompts that stall streams while an engine in another data centre is
    // idle.
    assert_eq!(run(None), (STREAMS, 5));
    assert_eq!(run(Some(MAX_GAP)), (0, 5));
}
