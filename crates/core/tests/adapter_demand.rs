//! Rates of adapters, copies wanted and loads in vain.

use jasmine_core::{
    adapter_demand::{AdapterDemand, LoadUsefulness, PlannedCopy, Trend},
    clock::Millis,
    ids::{AdapterId, AdapterVersion, ModelId, ServiceId, UpstreamId},
};

const START: Millis = Millis(100_000);
const WORK_MS: f64 = 100.0;

/// Records requests at a constant rate, from `from` to `until`.
fn note_rate(
    demand: &mut AdapterDemand,
    adapter: u32,
    per_s: u64,
    from: Millis,
    until: Millis,
) {
    let gap = 1_000 / per_s;
    let mut at = from;
    while at < until {
        demand.note(ServiceId(1), ModelId(0), AdapterId(adapter), at);
        at += Millis(gap);
    }
}

/// Guards against a table that grows with the number of adapters, and against the loss of the busiest in a full one.
#[test]
fn full_table() {
    let mut demand = AdapterDemand::default();
    for adapter in 1..40_000 {
        let now = START + Millis(u64::from(adapter) / 10);
        demand.note(ServiceId(1), ModelId(0), AdapterId(adapter), now);
        demand.note(ServiceId(1), ModelId(0), AdapterId(0), now);
        assert!(demand.known_adapters() <= 16_384);
    }
    assert!(demand.rate(AdapterId(0), START + Millis(4_000)) > 1_000.0);
}

/// Guards against copies that come after a rise is over, or stay wanted after a fall.
#[test]
fn rise_and_fall() {
    let mut demand = AdapterDemand::default();
    let adapter = AdapterId(1);
    note_rate(&mut demand, 1, 5, START, START + Millis(10_000));
    let rise = START + Millis(10_000);
    assert_eq!(demand.copies_wanted(adapter, WORK_MS, rise), 1);
    let soon = rise + Millis(500);
    note_rate(&mut demand, 1, 50, rise, soon);
    assert_eq!(demand.trend(adapter, soon), Trend::Rising);
    assert!(demand.copies_wanted(adapter, WORK_MS, soon) >= 4);
    let fall = rise + Millis(5_000);
    note_rate(&mut demand, 1, 50, soon, fall);
    let later = fall + Millis(4_000);
    assert_eq!(demand.trend(adapter, later), Trend::Falling);
    assert_eq!(demand.copies_wanted(adapter, WORK_MS, later), 1);
}

/// Guards against the eviction of an adapter's only copy while another has more copies than it needs.
#[test]
fn surplus_copies_go_first() {
    let mut demand = AdapterDemand::default();
    let now = START + Millis(10_000);
    note_rate(&mut demand, 1, 2, START, now);
    note_rate(&mut demand, 2, 1, START, now);
    demand.set_copies([1, 1, 2].into_iter().map(AdapterId));
    let value = |adapter| demand.copy_value(AdapterId(adapter), WORK_MS, now);
    assert!(value(1) < value(2));
}

/// Guards against loads ahead of demand that go on although no requests come for them.
#[test]
fn loads_in_vain_stop() {
    let mut usefulness = LoadUsefulness::default();
    let mut ordered = 0;
    for step in 0..2_000 {
        let now = START + Millis(step * 10);
        usefulness.review(now, |_| Some(false));
        if usefulness.allows(now) {
            ordered += 1;
            usefulness.note_ahead(PlannedCopy {
                upstream: UpstreamId(1),
                adapter: AdapterVersion {
                    adapter: AdapterId(ordered),
                    version: 1,
                },
                ordered_at: now,
            });
        }
    }
    assert!(ordered <= 60, "{ordered} loads in 20 s");
    assert!(usefulness.in_vain <= u64::from(ordered));
}
