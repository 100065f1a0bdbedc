//! The metrics page must have all names and labels, and a log event must stay on one line.

use {
    jasmine_core::{clock::Millis, error::ErrorKind},
    jasmine_telemetry::{
        log::Line,
        metrics::{Labels, Metrics, Refusals, RequestMetrics},
    },
    std::{sync::Arc, time::Duration},
};

#[test]
fn histogram_labels() {
    let metrics = Metrics::new().expect("metrics");
    let requests = RequestMetrics::new(&metrics.meter());
    let labels = Labels::new(Arc::from("clinic"), "high");
    requests.admitted(&labels);
    requests.queue_wait(&labels, Millis(3));
    requests.first_token(&labels, Duration::from_millis(40));
    requests.token_gap(&labels, Duration::from_millis(7));
    requests.load_stall(&labels, Millis(250));
    requests.batch(&labels, 5);
    requests.settled(&labels, 90);
    let page = metrics.page().expect("page");
    for name in [
        "jasmine_queue_wait_seconds_bucket",
        "jasmine_first_token_seconds_bucket",
        "jasmine_token_gap_seconds_bucket",
        "jasmine_load_stall_seconds_bucket",
        "jasmine_batch_size_bucket",
        "jasmine_requests_total",
        "jasmine_tokens_total",
    ] {
        let line = page
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap_or_else(|| panic!("{name} is missing in\n{page}"));
        assert!(
            line.contains(r#"account="clinic""#) && line.contains(r#"class="high""#),
            "{line}"
        );
    }
}

#[test]
fn refusal_kinds() {
    let metrics = Metrics::new().expect("metrics");
    let refusals = Refusals::new(&metrics.meter());
    for kind in ErrorKind::ALL {
        refusals.count(kind, "clinic");
    }
    let page = metrics.page().expect("page");
    for kind in ErrorKind::ALL {
        let label = format!(r#"kind="{kind}""#);
        assert!(page.contains(&label), "{label} is missing");
    }
}

#[test]
fn a_line_has_no_line_breaks() {
    bolero::check!()
        .with_type::<(String, String)>()
        .for_each(|(event, value)| {
            let line = Line::new(event).with("value", value).with("last", 1);
            let text = line.as_str();
            assert!(!text.contains(['\n', '\r']), "{text:?}");
            assert!(text.ends_with(" last=1"), "{text:?}");
        });
}
