use {
    super::{
        super::{callers::Record, resumed_streams::check_stream},
        routes::Route,
    },
    std::collections::BTreeMap,
};

/// Streams hold events of one build, each once and in order, over all attempts of their callers.
pub fn check_streams(records: &[Record]) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        let first = record.resumes.as_deref().unwrap_or(&record.id);
        streams.entry(first).or_default().push(record);
    }
    let check = |attempts: &Vec<&Record>| {
        let events = Route::of(attempts[0].target).events?;
        check_stream(attempts, events)
    };
    streams.values().filter_map(check).collect()
}
