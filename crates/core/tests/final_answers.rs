//! Which refusals a VM may give for good.

use jasmine_core::{
    clock::Millis,
    error::ErrorKind,
    ingress::{FinalAnswers, Finality},
};

/// Allowed propagation time of a change.
const CHANGE: Millis = Millis(2_000);
/// Oldest view by which a request may be refused for good.
const MAX_AGE: Millis = Millis(1_500);
const ARRIVED: Millis = Millis(100_000);

fn decide(
    known_at: Option<Millis>,
    has_asked: bool,
) -> Finality {
    FinalAnswers::new(CHANGE).decide(ARRIVED, known_at, has_asked)
}

#[test]
fn a_recent_view_is_final() {
    // Guards against a question to the store for each wrong key.
    for known_at in [ARRIVED - MAX_AGE, ARRIVED, ARRIVED + Millis(1)] {
        assert_eq!(decide(Some(known_at), false), Finality::Final);
        assert_eq!(decide(Some(known_at), true), Finality::Final);
    }
}

#[test]
fn an_old_view_is_confirmed_first() {
    // Guards against refusing for good by a configuration that was replaced long ago.
    let known_at = ARRIVED - MAX_AGE - Millis(1);
    assert_eq!(decide(Some(known_at), false), Finality::Confirm);
    assert_eq!(decide(Some(Millis::ZERO), false), Finality::Confirm);
}

#[test]
fn an_unconfirmed_view_is_not_final() {
    // Guards against refusing for good by an old view because the store doesn't answer.
    let known_at = ARRIVED - MAX_AGE - Millis(1);
    assert_eq!(decide(Some(known_at), true), Finality::Uncertain);
}

#[test]
fn no_view_is_not_final() {
    // Guards against refusing for good by default limits.
    assert_eq!(decide(None, false), Finality::Uncertain);
    assert_eq!(decide(None, true), Finality::Uncertain);
}

#[test]
fn early_arrivals_need_no_earlier_view() {
    // Guards against an underflow just after the start of the clock.
    let answers = FinalAnswers::new(CHANGE);
    assert_eq!(answers.required_at(Millis(3)), Millis::ZERO);
    assert_eq!(
        answers.decide(Millis(3), Some(Millis::ZERO), false),
        Finality::Final
    );
}

#[test]
fn final_kinds_name_no_return_time() {
    // Guards against a new kind of refusal that callers take as final, and that nobody has decided about.
    let kinds = ErrorKind::ALL.into_iter().filter(|kind| kind.is_final());
    let codes: Vec<&str> = kinds.map(|kind| kind.answer().code).collect();
    let expected = [
        "bad_request",
        "body_too_large",
        "headers_too_large",
        "key_missing",
        "key_unknown",
        "key_withdrawn",
        "not_permitted",
        "model_not_found",
        "service_not_found",
        "larger_than_burst",
        "claim_mismatch",
        "edit_invalid",
        "edit_conflict",
        "not_found",
    ];
    assert_eq!(codes, expected);
}
