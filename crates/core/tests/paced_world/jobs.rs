use {
    super::super::scheduler_world::{call, generation},
    jasmine_core::{
        clock::Millis,
        ingress::PromptSize,
        scheduler::{Generation, Job, Work},
    },
};

/// A call that is in no hurry.
pub fn call_job(now: Millis) -> Job {
    Job {
        objective: now + Millis(10_000),
        deadline: now + Millis(60_000),
        ..call(now)
    }
}

/// A generation without an adapter that is in no hurry.
pub fn generation_job(
    prompt: u32,
    now: Millis,
) -> Job {
    let job = generation(0, now);
    let known = job.generation().expect("it is a generation").clone();
    Job {
        work: Work::Generation(Generation {
            adapter: None,
            parts: Vec::new(),
            size: PromptSize {
                prompt,
                output: 100,
            },
            ..known
        }),
        objective: now + Millis(10_000),
        deadline: now + Millis(60_000),
        ..job
    }
}
