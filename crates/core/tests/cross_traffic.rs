//! Traffic between data centres: a request is worth less of it the more bytes it moves.

mod scheduler_world;

use {
    jasmine_core::{
        ids::{DataCentreId, UpstreamId},
        ingress::PromptSize,
        scheduler::{
            Activation, Generation, HardLoadSettings, Job, SchedulerSettings, UpstreamStatus, Work,
        },
    },
    scheduler_world::{World, engine, generation, upstream},
};

const NEAR: UpstreamId = UpstreamId(0);
const FAR: UpstreamId = UpstreamId(1);

/// Where a request goes that has a prompt of some tokens, while the engine in its data centre reads one of 1,500.
fn destination(
    activation: Activation,
    prompt: u32,
    output: u32,
) -> Option<UpstreamId> {
    let settings = SchedulerSettings {
        hard_load: HardLoadSettings {
            expected_finish: activation,
            ..HardLoadSettings::default()
        },
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, true);
    world.add_engine(NEAR, &[]);
    let far = UpstreamStatus {
        data_centre: Some(DataCentreId(1)),
        ..upstream(Some(engine(None, &[])))
    };
    world.set(FAR, &far);
    world.report(FAR, &engine(Some(0), &[]));
    let job = |prompt, output| {
        let job = generation(0, world.now);
        let known = job.generation().expect("it is a generation").clone();
        let work = Work::Generation(Generation {
            adapter: None,
            parts: Vec::new(),
            size: PromptSize { prompt, output },
            ..known
        });
        Job { work, ..job }
    };
    let (first, second) = (job(1_500, 100), job(prompt, output));
    let first = world.place(first);
    assert_eq!(world.sent_to(first), Some(NEAR));
    let second = world.place(second);
    world.sent_to(second)
}

#[test]
fn traffic_by_bytes() {
    // Guards against long prompts and answers that cross data centres to save a short wait.
    assert_eq!(destination(Activation::On, 200, 50), Some(FAR));
    assert_eq!(destination(Activation::On, 16_000, 2_000), Some(NEAR));
}

#[test]
fn traffic_inactive_as_before() {
    // Guards against another charge for traffic where placement by expected finish is off.
    assert_eq!(destination(Activation::Off, 200, 50), Some(FAR));
    assert_eq!(destination(Activation::Off, 16_000, 2_000), Some(FAR));
}
