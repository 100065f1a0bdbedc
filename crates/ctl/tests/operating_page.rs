//! Checks that the commands in docs/OPERATING.md parse, and that those of its first-day section succeed in order.

mod ctl_runner;
#[path = "../../controller/tests/fake_controller/mod.rs"]
#[expect(dead_code, reason = "the command line tests use the rest")]
mod fake_controller;

use {
    ctl_runner::Ctl,
    fake_controller::{FakeController, TOKEN, serve},
    jasmine_ctl::cli::app,
};

const PAGE: &str = include_str!("../../../docs/OPERATING.md");

/// Extracts the command lines from a part of the page.
fn commands(part: &str) -> Vec<&str> {
    part.lines()
        .filter_map(|line| line.strip_prefix("    "))
        .map(|line| line.trim_start_matches("$ "))
        .filter_map(|line| line.strip_prefix("jasminectl "))
        .collect()
}

#[test]
fn documented_commands_parse() {
    let all = commands(PAGE);
    assert!(all.len() > 20, "{all:?}");
    for line in all {
        let words = ["jasminectl"].into_iter().chain(line.split_whitespace());
        if let Err(e) = app().try_get_matches_from(words) {
            panic!("{line}: {e}");
        }
    }
}

#[actix::test]
async fn documented_first_day_commands_succeed() {
    let part = PAGE
        .split("\n## ")
        .find(|part| part.starts_with("The first day"))
        .unwrap();
    let ctl = Ctl::at(&[serve(FakeController::default())], TOKEN);
    for line in commands(part) {
        // The applied file is not part of the page.
        if !line.starts_with("apply ") {
            let ran = ctl.ok(line).await;
            assert_eq!(ran.err, "", "{line}");
        }
    }
    let told = ctl
        .ok("explain /accounts/clinics/san-juan rate -o json")
        .await;
    assert_eq!(told.json()["from"], "/accounts/clinics");
}
