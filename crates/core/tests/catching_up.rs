//! How a reader of the store keeps up with its changes.

use jasmine_core::feed::{CatchUp, ChangeBatch, ReadNext};

const SMALL: ChangeBatch = ChangeBatch {
    revision: 10,
    events: 3,
    bytes: 900,
    known_revision: 10,
};
const CUT_BY_EVENTS: ChangeBatch = ChangeBatch {
    events: 500,
    ..SMALL
};
const CUT_BY_SIZE: ChangeBatch = ChangeBatch {
    bytes: 1 << 20,
    ..SMALL
};
const BEHIND: ChangeBatch = ChangeBatch {
    known_revision: 11,
    ..SMALL
};

#[test]
fn cut_off_answers() {
    // Guards against views that count as complete though the store holds more changes.
    assert!(!SMALL.may_be_cut_off());
    for cut in [CUT_BY_EVENTS, CUT_BY_SIZE, BEHIND] {
        assert!(cut.may_be_cut_off(), "{cut:?}");
    }
}

#[test]
fn pauses_only_when_caught_up() {
    // Guards against a reader that waits while more changes are there than it has read.
    let mut catch_up = CatchUp::default();
    assert_eq!(catch_up.answered(&SMALL), ReadNext::Pause);
    assert_eq!(catch_up.answered(&BEHIND), ReadNext::Changes);
    assert_eq!(catch_up.answered(&SMALL), ReadNext::Pause);
    let none = ChangeBatch { events: 0, ..SMALL };
    assert_eq!(catch_up.answered(&none), ReadNext::Changes);
}

#[test]
fn lasting_lag_ends() {
    // Guards against a reader that lags for as long as changes come faster than it reads them.
    let mut catch_up = CatchUp::default();
    let next: Vec<ReadNext> = (0..4).map(|_| catch_up.answered(&CUT_BY_SIZE)).collect();
    assert_eq!(next[..3], [ReadNext::Changes; 3]);
    assert_eq!(next[3], ReadNext::Content);
    assert!(catch_up.has_lost_changes());
    catch_up.caught_up();
    assert_eq!(catch_up.answered(&CUT_BY_SIZE), ReadNext::Changes);
}

#[test]
fn outages_lose_nothing() {
    // Guards against reads of the whole store by all of its readers after each outage.
    let mut catch_up = CatchUp::default();
    for _ in 0..20 {
        catch_up.unanswered(false);
    }
    catch_up.unanswered(true);
    assert!(!catch_up.has_lost_changes());
    catch_up.unanswered(true);
    assert!(catch_up.has_lost_changes());
}
