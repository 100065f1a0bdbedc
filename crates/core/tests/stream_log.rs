//! The pages of streams that a VM stores.

use jasmine_core::{
    clock::Millis,
    ids::StreamId,
    streams::{StreamLog, StreamPage},
};

fn streams(pages: &[StreamPage]) -> Vec<(u64, &str, u64)> {
    let all = pages.iter().flat_map(|page| {
        let builds = page.builds.iter();
        builds.flat_map(|(build, ids)| ids.iter().map(|id| (page.slot, build.as_str(), id.0)))
    });
    all.collect()
}

#[test]
fn changed_pages() {
    // Guards against streams that the store never gets, and pages that are written again and again.
    let mut log = StreamLog::default();
    log.note(StreamId(1), Some("v1"), Millis(1_000));
    log.note(StreamId(2), None, Millis(2_000));
    log.note(StreamId(3), Some("v2"), Millis(6_000));
    let pages = log.take_unstored(Millis(6_000));
    assert_eq!(streams(&pages), [(0, "", 2), (0, "v1", 1), (1, "v2", 3)]);
    assert!(log.take_unstored(Millis(6_000)).is_empty());
    log.note(StreamId(4), Some("v2"), Millis(7_000));
    let pages = log.take_unstored(Millis(7_000));
    assert_eq!(streams(&pages), [(1, "v2", 3), (1, "v2", 4)]);
    log.put_back(1);
    assert_eq!(log.take_unstored(Millis(7_000)), pages);
}

#[test]
fn old_pages() {
    // Guards against a log that grows, and against forgetting streams whose callers may still come back.
    let mut log = StreamLog::default();
    log.note(StreamId(1), Some("v1"), Millis(4_999));
    assert_eq!(log.clone().take_unstored(Millis(19_999)).len(), 1);
    assert!(log.take_unstored(Millis(20_000)).is_empty());
    log.note(StreamId(2), Some("v1"), Millis(20_000));
    let pages = log.take_unstored(Millis(20_000));
    assert_eq!(streams(&pages), [(0, "v1", 2)]);
}
