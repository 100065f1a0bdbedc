use {
    jasmine_core::clock::Millis,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, Meter},
    },
    std::{sync::Arc, time::Duration},
};

/// Bucket bounds of the time histograms, in seconds.
const TIME_BUCKETS_SECONDS: [f64; 18] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0, 30.0, 60.0,
];
/// Bucket bounds of the batch size histogram, in requests.
const BATCH_SIZE_BUCKETS: [f64; 9] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0];

/// The labels of request metrics: client account and priority class.
#[derive(Clone, Debug)]
pub struct Labels {
    pairs: [KeyValue; 2],
}

impl Labels {
    /// Creates the labels for requests of `account` in the priority class `class`.
    pub fn new(
        account: Arc<str>,
        class: &'static str,
    ) -> Self {
        Self {
            pairs: [
                KeyValue::new("account", account),
                KeyValue::new("class", class),
            ],
        }
    }
}

/// Counters and histograms of requests, by client account and priority class.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    queue_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    older_version: Histogram<f64>,
    load_stall: Histogram<f64>,
    batch: Histogram<f64>,
}

impl RequestMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, text: &'static str, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Self {
            requests: meter
                .u64_counter("jasmine_requests")
                .with_description("Requests admitted")
                .build(),
            tokens: meter
                .u64_counter("jasmine_tokens")
                .with_description("Tokens charged after settlement")
                .build(),
            queue_wait: histogram(
                "jasmine_queue_wait_seconds",
                "From admission to the choice of an upstream",
                &TIME_BUCKETS_SECONDS,
            ),
            first_token: histogram(
                "jasmine_first_token_seconds",
                "From arrival to the first part of the answer",
                &TIME_BUCKETS_SECONDS,
            ),
            token_gap: histogram(
                "jasmine_token_gap_seconds",
                "Between two parts of a streamed answer",
                &TIME_BUCKETS_SECONDS,
            ),
            older_version: histogram(
                "jasmine_older_version_seconds",
                "From the last time a newer version of the adapter was known to be absent to the begin of an answer by an older one",
                &TIME_BUCKETS_SECONDS,
            ),
            load_stall: histogram(
                "jasmine_load_stall_seconds",
                "Spent waiting for an adapter to be loaded",
                &TIME_BUCKETS_SECONDS,
            ),
            batch: histogram(
                "jasmine_batch_size",
                "Requests running on the chosen engine, this one included",
                &BATCH_SIZE_BUCKETS,
            ),
        }
    }

    /// Counts an admitted request.
    pub fn admitted(
        &self,
        labels: &Labels,
    ) {
        self.requests.add(1, &labels.pairs);
    }

    /// Counts the tokens charged for a request after settlement.
    pub fn settled(
        &self,
        labels: &Labels,
        tokens: u64,
    ) {
        self.tokens.add(tokens, &labels.pairs);
    }

    /// Records how long a request waited in the queue.
    pub fn queue_wait(
        &self,
        labels: &Labels,
        wait: Millis,
    ) {
        self.queue_wait.record(wait.as_secs_f64(), &labels.pairs);
    }

    /// Records the time from arrival to the first part of the response.
    pub fn first_token(
        &self,
        labels: &Labels,
        wait: Duration,
    ) {
        self.first_token.record(wait.as_secs_f64(), &labels.pairs);
    }

    /// Records the time between two parts of a streamed response.
    pub fn token_gap(
        &self,
        labels: &Labels,
        gap: Duration,
    ) {
        self.token_gap.record(gap.as_secs_f64(), &labels.pairs);
    }

    /// Records the age of a newer version of the adapter when an answer began by an older one.
    pub fn older_version(
        &self,
        labels: &Labels,
        age: Duration,
    ) {
        self.older_version.record(age.as_secs_f64(), &labels.pairs);
    }

    /// Records how long a request waited for an adapter load; call only for requests that waited.
    pub fn load_stall(
        &self,
        labels: &Labels,
        stall: Millis,
    ) {
        self.load_stall.record(stall.as_secs_f64(), &labels.pairs);
    }

    /// Records the number of requests running on the engine, including this one.
    pub fn batch(
        &self,
        labels: &Labels,
        requests: u32,
    ) {
        self.batch.record(f64::from(requests), &labels.pairs);
    }
}
