use {
    jasmine_core::error::ErrorKind,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Meter},
    },
};

/// Counts requests and edits answered with an error, by kind.
#[derive(Clone, Debug)]
pub struct Refusals {
    counter: Counter<u64>,
}

impl Refusals {
    /// Creates the counter `jasmine_refusals_total`.
    pub fn new(meter: &Meter) -> Self {
        Self {
            counter: meter
                .u64_counter("jasmine_refusals")
                .with_description("Requests and edits answered with an error, by kind")
                .build(),
        }
    }

    /// Counts one error response; `account` is empty if the caller is unknown.
    pub fn count(
        &self,
        kind: ErrorKind,
        account: &str,
    ) {
        self.counter.add(1, &labels(kind, account));
    }

    /// Counts one error response to a request of a priority; 0 is the most urgent.
    pub fn count_ranked(
        &self,
        kind: ErrorKind,
        account: &str,
        priority: u8,
    ) {
        let [kind, execution, account] = labels(kind, account);
        let class = KeyValue::new("class", i64::from(priority));
        self.counter.add(1, &[kind, execution, account, class]);
    }
}

fn labels(
    kind: ErrorKind,
    account: &str,
) -> [KeyValue; 3] {
    let answer = kind.answer();
    [
        KeyValue::new("kind", answer.code),
        KeyValue::new("execution", answer.execution.to_string()),
        KeyValue::new("account", account.to_owned()),
    ]
}
