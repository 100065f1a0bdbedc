//! Checks that the documentation lists every log event.

use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Collects the names of the log events in the sources below a folder.
fn collect_events(
    folder: &Path,
    names: &mut BTreeSet<String>,
) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_events(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        let found = text.split("Line::new(\"").skip(1);
        names.extend(
            found
                .filter_map(|rest| rest.split('"').next())
                .map(str::to_owned),
        );
    }
}

#[test]
fn the_page_lists_every_event() {
    let mut names = BTreeSet::new();
    collect_events(
        Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")),
        &mut names,
    );
    names.insert("log_dropped".to_owned());
    let (_, table) = PAGE.split_once("## Events").unwrap();
    let listed: BTreeSet<String> = table
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|word| word.contains('_') || ["started", "stopping", "stopped"].contains(word))
        .filter(|word| !word.contains('/') && !word.contains('.'))
        .map(str::to_owned)
        .collect();
    assert_eq!(listed, names);
}
