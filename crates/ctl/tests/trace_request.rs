//! Tests of tracing a request through the daemons' logs.

use {
    jasmine_ctl::trace::{LogLine, trace},
    std::{fs, path::PathBuf},
};

fn file(
    name: &str,
    text: &str,
) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("jasmine-trace-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{name}.log"));
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn rate_limited_request_names_its_account() {
    let log = "\
time=2026-01-01T00:00:01.000Z level=info event=config_taken version=4 before=0 routes=9
time=2026-01-01T00:00:02.000Z level=info event=request_given_up id=other account=two kind=no_upstream
time=2026-01-01T00:00:03.000Z level=info event=request_given_up id=r1 route=r account=one cost=2400 kind=rate_limited retry_after_ms=385 decided_by=vm-3/9 config=4
torn li
time=2026-01-01T00:00:04.000Z level=info event=config_taken version=5 before=4 routes=9
";
    let request_trace = trace("r1", &[file("refused", log)]).unwrap();
    let cause = request_trace.cause();
    for part in [
        "Account one",
        "over its rate",
        "2400 tokens",
        "385 ms",
        "vm-3/9",
    ] {
        assert!(cause.contains(part), "{cause}");
    }
    assert!(!cause.contains("two"));
    assert_eq!(request_trace.unparsed_lines, 1);
    let text = request_trace.lines().join("\n");
    assert!(
        text.contains("version 4") && !text.contains("version 5"),
        "{text}"
    );
}

#[test]
fn evacuations_and_regions_are_named_as_causes() {
    let line = |kind: &str| {
        format!(
            "time=2026-01-01T00:00:03.000Z level=info event=request_given_up id=r1 route=r account=one kind={kind} decided_by=vm-3/9\n"
        )
    };
    let cause = |kind: &str| {
        let log = line(kind);
        trace("r1", &[file(kind, &log)]).unwrap().cause()
    };
    assert!(cause("evacuated").contains("evacuated, decided by vm-3/9"));
    assert!(cause("region_unavailable").contains("route r and account one"));
}

#[test]
fn log_lines_of_several_processes_are_merged_in_time_order() {
    // One VM sends the request; the adapter load it waited for was ordered by another VM, with its own log.
    let first = "\
time=2026-01-01T00:00:01.500Z level=info event=request_sent id=r1 upstream=e-1 waited_ms=400 decided_by=vm-2/9
time=2026-01-01T00:00:02.000Z level=info event=attempt_failed id=r1 upstream=e-1 outcome=Lost again=false
time=2026-01-01T00:00:02.001Z level=info event=request_given_up id=r1 kind=upstream_lost waited_ms=400
";
    let second = "time=2026-01-01T00:00:01.000Z level=info event=order_given upstream=e-1 op=Load adapter=a3 end=Accepted\n";
    let files = [file("one", first), file("two", second)];
    let request_trace = trace("r1", &files).unwrap();
    assert!(
        request_trace
            .cause()
            .contains("e-1 had it and ended with Lost"),
        "{}",
        request_trace.cause()
    );
    assert_eq!(request_trace.context[0].event, "order_given");
    assert_eq!(request_trace.context[0].process, "two");
}

#[test]
fn late_requests_lead_to_who_sent_them() {
    // Guards against a request with a part that crashes engines of which nobody can tell who let it go, and on what.
    let caller = "\
time=2026-01-01T00:00:03.000Z level=info event=request_sent id=r1 request=00c41de0b2a7c7b7 upstream=e-1 decided_by=vm-2/9
time=2026-01-01T00:00:03.100Z level=info event=request_given_up id=r1 kind=upstream_lost
";
    let decider = "\
time=2026-01-01T00:00:01.000Z level=info event=evidence_received by=store crashes=2 sound=40 ago_ms=500
time=2026-01-01T00:00:01.500Z level=warn event=prompt_quarantined parts=bad1 adapters=- by=evidence crashes=4 on=e-1:400
time=2026-01-01T00:00:01.600Z level=warn event=prompt_quarantined parts=bad2 adapters=- by=evidence crashes=3 on=e-2:400
time=2026-01-01T00:00:02.900Z level=info event=retry_decided request=c41de0b2a7c7b7 vm=3 attempt=2 end=granted requests=9 retries=1
time=2026-01-01T00:00:02.950Z level=info event=suspect_sent request=00c41de0b2a7c7b7 upstream=e-1 accused=bad1:5 late=1 probed=bad1
time=2026-01-01T00:00:02.960Z level=info event=suspect_sent request=11aa upstream=e-3 accused=bad2:3 late=0 probed=-
time=2026-01-01T00:00:03.050Z level=info event=crash_reported upstream=e-1 request=request.c41de0b2a7c7b7 prompt=true parts=f1,bad1
";
    let files = [file("caller", caller), file("decider", decider)];
    let text = trace("r1", &files).unwrap().lines().join("\n");
    for wanted in [
        "retry decided",
        "accused bad1:5, late 1, probed bad1",
        "crash reported",
        "parts bad1, adapters -, by evidence, crashes 4",
        "evidence received",
    ] {
        assert!(text.contains(wanted), "{wanted} not in\n{text}");
    }
    assert!(!text.contains("bad2"), "{text}");
}

#[test]
fn late_requests_lead_to_each_end_under_their_parts() {
    // Guards against ends of engines under a part of which nobody can tell what each VM saw, and why they counted or not.
    let caller = "\
time=2026-01-01T00:00:09.000Z level=info event=request_sent id=r1 request=00c41de0b2a7c7b7 upstream=e-1 decided_by=vm-2/9
time=2026-01-01T00:00:09.100Z level=info event=request_given_up id=r1 kind=upstream_lost
";
    let decider = "\
time=2026-01-01T00:00:02.000Z level=info event=crash_reported upstream=e-4 request=request.11aa prompt=true gone=false parts=f1,bad1
time=2026-01-01T00:00:02.200Z level=info event=crash_dropped crash=e-4:190 reason=heard
time=2026-01-01T00:00:02.300Z level=info event=crash_dropped crash=e-8:190 reason=age
time=2026-01-01T00:00:04.000Z level=info event=upstream_ended upstream=e-5 seen=restarted requests=22bb
time=2026-01-01T00:00:08.950Z level=info event=suspect_sent request=00c41de0b2a7c7b7 upstream=e-1 accused=bad1:1 late=0 probed=-
time=2026-01-01T00:00:09.050Z level=info event=crash_reported upstream=e-1 request=request.c41de0b2a7c7b7 prompt=true gone=true parts=f1,bad1
";
    let other = "\
time=2026-01-01T00:00:03.000Z level=info event=attempt_failed id=r2 request=00000000000022bb upstream=e-5 outcome=Silent shows=open parts=f1,bad1,1
time=2026-01-01T00:00:03.500Z level=info event=attempt_failed id=r3 request=00000000000033cc upstream=e-6 outcome=Lost shows=crash parts=f1,bad2,1
";
    let files = [
        file("end-caller", caller),
        file("end-decider", decider),
        file("end-other", other),
    ];
    let text = trace("r1", &files).unwrap().lines().join("\n");
    for wanted in [
        "crash e-4:190, reason heard",
        "upstream e-5, seen restarted",
        "upstream e-5, outcome Silent",
    ] {
        assert!(text.contains(wanted), "{wanted} not in\n{text}");
    }
    for other in ["e-6", "e-8"] {
        assert!(!text.contains(other), "{other} in\n{text}");
    }
}

#[test]
fn request_without_an_end_event_is_reported() {
    let log = "time=2026-01-01T00:00:01.500Z level=info event=request_sent id=r1 upstream=e-1 waited_ms=4\n";
    let request_trace = trace("r1", &[file("killed", log)]).unwrap();
    assert!(
        request_trace.cause().contains("killed"),
        "{}",
        request_trace.cause()
    );
    let none = trace("unknown", &[file("none", log)]).unwrap();
    assert!(none.request_lines.is_empty());
}

#[test]
fn quoted_values_are_read() {
    let line = LogLine::parse(
        "vm",
        "time=t level=warn event=store_lost reason=\"a \\\"b\\\" c\" n=1",
    )
    .unwrap();
    assert_eq!(line.get("reason"), Some("a \"b\" c"));
    assert_eq!(line.get("n"), Some("1"));
    assert_eq!(LogLine::parse("vm", "time=t event=x reason=\"torn"), None);
}

#[test]
fn malformed_log_lines_do_not_panic() {
    for text in [
        "",
        "=",
        "a=",
        "time=",
        "event=x",
        "\"",
        "time=t event=e =\"",
        "🦀=🦀 time=t event=e",
    ] {
        drop(LogLine::parse("vm", text));
    }
}
