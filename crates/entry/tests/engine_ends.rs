//! Parts of prompts under which engines end, each in its own way: before a head, late, silently.
//!
//! Each way beside each loss, by hand: `cargo test -p jasmine-entry --test engine_ends each_ -- --ignored --nocapture`.

mod deployment;

use {
    deployment::{
        crashing_site::{CrashingSite, Loss, Outcome, Storm},
        part_arrivals::MAX_LATE,
    },
    jasmine_platform_stand_in::{EndAt, EngineEnd, Outage},
    std::{thread, time::Duration},
};

/// Share of the sound prompts that has to be served beside prompts that end engines.
const MIN_SERVED: f64 = 0.5;

const ENDS: [EngineEnd; 7] = [
    EngineEnd::Reset,
    EngineEnd::Process(EndAt::Head),
    EngineEnd::Process(EndAt::Events(2)),
    EngineEnd::Process(EndAt::Late(Duration::from_millis(500))),
    EngineEnd::Process(EndAt::Late(Duration::from_millis(1_200))),
    EngineEnd::Hang(Duration::from_millis(1_500)),
    EngineEnd::Hang(Duration::from_secs(4)),
];

fn run(
    name: &str,
    storm: &Storm,
) -> Outcome {
    let name = format!("{name}-{}", storm.end.name());
    CrashingSite::start(storm, &name).run(storm)
}

fn holds(outcome: &Outcome) -> bool {
    outcome.late_in_touch() <= MAX_LATE && outcome.served() >= MIN_SERVED
}

/// One part ends engines in this way, and nothing is lost: few requests with it arrive late.
fn assert_known(
    name: &str,
    end: EngineEnd,
) {
    let outcome = run(name, &Storm::of_site(1, end));
    assert!(holds(&outcome), "{outcome:?}");
}

#[test]
fn before_the_head() {
    // Guards against a part that is never accused, as no answer to it begins.
    assert_known("head", EngineEnd::Process(EndAt::Head));
}

#[test]
fn before_the_head_without_adapters() {
    // Guards against the same where only the part itself can be accused.
    let storm = Storm {
        adapters: 0,
        ..Storm::of_site(1, EngineEnd::Process(EndAt::Head))
    };
    let outcome = run("head-plain", &storm);
    assert!(holds(&outcome), "{outcome:?}");
}

#[test]
fn late_in_the_answer() {
    // Guards against a part that each answer acquits, as it goes on for a second before it breaks off.
    let late = EndAt::Late(Duration::from_millis(1_200));
    assert_known("late", EngineEnd::Process(late));
}

#[test]
fn after_a_silence() {
    // Guards against a part that is never accused, as VMs give up its answers before the engine is seen to have ended.
    assert_known("hang", EngineEnd::Hang(Duration::from_millis(1_500)));
}

/// Plays each way of ending, so many plays at a time; fails with those in which a part arrives late or sound prompts aren't served.
fn assert_each_end_holds(
    name: &str,
    storm: &Storm,
    plays_at_once: usize,
) {
    let ends = selected_ends();
    let mut failed = Vec::new();
    for some in ends.chunks(plays_at_once) {
        let outcomes: Vec<(EngineEnd, Outcome)> = thread::scope(|scope| {
            let plays = some.iter().map(|&end| {
                let storm = Storm { end, ..*storm };
                (end, scope.spawn(move || run(name, &storm)))
            });
            let plays: Vec<_> = plays.collect();
            let ended = plays.into_iter();
            ended
                .map(|(end, play)| (end, play.join().unwrap()))
                .collect()
        });
        let bad = outcomes.iter().filter(|(_, outcome)| !holds(outcome));
        failed.extend(bad.map(|(end, _)| *end));
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// All ways of ending, or those whose names begin as `JASMINE_ENDS` says.
fn selected_ends() -> Vec<EngineEnd> {
    let prefix = std::env::var("JASMINE_ENDS").unwrap_or_default();
    let selected = ENDS
        .into_iter()
        .filter(|end| end.name().starts_with(&prefix));
    selected.collect()
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_of_one() {
    // Guards against a way of ending that no other case plays.
    assert_each_end_holds("one", &Storm::of_site(1, EngineEnd::Reset), 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_of_six() {
    // Guards against the same under six parts at once.
    assert_each_end_holds("six", &Storm::of_site(6, EngineEnd::Reset), 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_of_twelve() {
    // Guards against the same under twelve.
    assert_each_end_holds("twelve", &Storm::of_site(12, EngineEnd::Reset), 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_without_adapters() {
    // Guards against the same under six where prompts have no adapters.
    let storm = Storm {
        adapters: 0,
        ..Storm::of_site(6, EngineEnd::Reset)
    };
    assert_each_end_holds("plain", &storm, 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_beside_own_ends() {
    // Guards against the same where engines also end by themselves, and half of the VMs are killed.
    let storm = Storm {
        loss: Loss::HalfOfVms,
        has_own_ends: true,
        ..Storm::of_site(6, EngineEnd::Reset)
    };
    assert_each_end_holds("own", &storm, 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_beside_suspended_vms() {
    // Guards against the same where half of the VMs are suspended as engines end under their requests.
    let storm = Storm {
        loss: Loss::HalfOfVmsSuspended,
        ..Storm::of_site(6, EngineEnd::Reset)
    };
    assert_each_end_holds("suspended", &storm, 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_beside_power_losses() {
    // Guards against the same where all VMs are killed at once.
    let storm = Storm {
        loss: Loss::AllVms,
        ..Storm::of_site(2, EngineEnd::Reset)
    };
    assert_each_end_holds("power", &storm, 4);
}

#[test]
#[ignore = "two minutes; by hand"]
fn each_end_beside_store_outages() {
    // Guards against the same where the store is away time after time.
    let storm = Storm {
        loss: Loss::Store(Outage::Unavailable),
        ..Storm::of_site(2, EngineEnd::Reset)
    };
    assert_each_end_holds("store", &storm, 4);
}
