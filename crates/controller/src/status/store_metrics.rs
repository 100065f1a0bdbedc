use {
    jasmine_store::etcd::{CallCounts, StoreCallKind},
    opentelemetry::{KeyValue, metrics::Meter},
};

/// Registers the metrics of store calls, watches and failures with a meter.
pub fn register(
    meter: &Meter,
    counts: &CallCounts,
) {
    let made = counts.clone();
    meter
        .u64_observable_counter("jasmine_store_calls")
        .with_description("Calls sent to the platform's key-value service, by kind")
        .with_callback(move |observer| {
            for kind in StoreCallKind::ALL {
                observer.observe(made.made(kind), &[KeyValue::new("kind", kind.to_string())]);
            }
        })
        .build();
    let watches = counts.clone();
    meter
        .u64_observable_gauge("jasmine_store_watches")
        .with_description("Watches of the key-value service that wait now")
        .with_callback(move |observer| observer.observe(watches.watches(), &[]))
        .build();
    let failed = counts.clone();
    meter
        .u64_observable_counter("jasmine_store_failures")
        .with_description("Calls to the key-value service without a usable answer, by kind")
        .with_callback(move |observer| {
            for kind in StoreCallKind::ALL {
                observer.observe(
                    failed.failed(kind),
                    &[KeyValue::new("kind", kind.to_string())],
                );
            }
        })
        .build();
}
