//! The load of a VM on its page of metrics.

mod deployment;

use deployment::{Request, Vm, exchange, start_platform, wait_until};

const CALLS: usize = 200;

/// The value of the first sample whose name and labels hold all of these texts.
fn sample(
    page: &str,
    texts: &[&str],
) -> Option<u64> {
    let mut lines = page.lines().filter(|line| !line.starts_with('#'));
    let line = lines.find(|line| texts.iter().all(|text| line.contains(text)))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Guards against a leader at its limit whose metrics don't tell what its processor time goes to.
#[test]
fn the_page_tells_what_time_goes_to() {
    let (store, _upstreams) = start_platform(&["u-1"]);
    let vm = Vm::start(&store);
    for _ in 0..CALLS {
        assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
    }
    let started = vm.log_lines("started");
    let (_, rest) = started[0].split_once(" metrics=").unwrap();
    let address = rest.split_whitespace().next().unwrap().parse().unwrap();
    let page = || {
        let metrics = exchange(address, b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
        metrics.unwrap().text()
    };
    wait_until("the times of both parts are told", || {
        let page = page();
        ["callers", "decisions"]
            .iter()
            .all(|part| sample(&page, &["jasmine_work_ms", part]) > Some(0))
    });
    let page = page();
    for work in ["call", "generation"] {
        assert_eq!(
            sample(&page, &["jasmine_oldest_ms", work]),
            Some(0),
            "{page}"
        );
    }
    for name in [
        "jasmine_late_ms",
        "jasmine_asks_repeated",
        "jasmine_refused_here",
    ] {
        assert!(sample(&page, &[name]).is_some(), "no {name} in {page}");
    }
    for end in ["assigned", "refused", "lost", "given_up"] {
        assert!(
            sample(&page, &["jasmine_asks", end]).is_some(),
            "no {end} in {page}"
        );
    }
}
