//! Checks that the tables of errors and tree settings in the docs match the code.

use {
    jasmine_conf::tree::{NodeKind, Setting, SettingScope, Value},
    jasmine_core::error::{ErrorKind, RetryAfter},
};

/// The part of a page between a marker and the end marker.
fn between<'d>(
    docs: &'d str,
    marker: &str,
) -> &'d str {
    let after = docs.split_once(marker).unwrap().1;
    let after = after.split_once("-->\n").unwrap().1;
    after.split_once("<!-- end -->").unwrap().0
}

fn kinds(kinds: &[NodeKind]) -> String {
    kinds
        .iter()
        .map(|kind| kind.name())
        .collect::<Vec<_>>()
        .join(", ")
}

fn default(setting: Setting) -> String {
    match &setting.spec().default {
        None => String::new(),
        Some(Value::Text(text)) if text.is_empty() => "empty".to_owned(),
        Some(Value::Names(names)) if names.is_empty() => "nobody".to_owned(),
        Some(value) => value.to_string(),
    }
}

/// Formats one table row.
fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn tree_settings() -> String {
    let mut table =
        "| setting | of | reach | default | allowed | meaning |\n|---|---|---|---|---|---|\n"
            .to_owned();
    for setting in Setting::ALL {
        let spec = setting.spec();
        let reach = match spec.scope {
            SettingScope::Inherited => "inherited",
            SettingScope::NodeOnly => "own",
            SettingScope::Fixed => "fixed",
        };
        let cells = [
            format!("`{setting}`"),
            kinds(spec.kinds),
            reach.to_owned(),
            default(setting),
            spec.value_type.allowed(),
            setting.purpose().to_owned(),
        ];
        table.push_str(&line(&cells));
    }
    table
}

fn errors() -> String {
    let mut table =
        "| code | status | execution | Retry-After | meaning |\n|---|---|---|---|---|\n".to_owned();
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = match answer.retry_after {
            RetryAfter::Never => "none".to_owned(),
            RetryAfter::FromRefusal => "as worked out".to_owned(),
            RetryAfter::Secs(secs) => format!("{secs} s"),
        };
        let cells = [
            format!("`{}`", answer.code),
            answer.status.to_string(),
            format!("`{}`", answer.execution),
            retry,
            kind.message().to_owned(),
        ];
        table.push_str(&line(&cells));
    }
    table
}

#[test]
fn the_settings_of_the_tree_are_documented() {
    let docs = include_str!("../../../docs/SETTINGS.md");
    let expected = tree_settings();
    assert!(
        between(docs, "<!-- tree settings:") == expected,
        "docs/SETTINGS.md should have:\n{expected}"
    );
}

#[test]
fn the_error_kinds_are_documented() {
    let docs = include_str!("../../../docs/ERRORS.md");
    let expected = errors();
    assert!(
        between(docs, "<!-- errors:") == expected,
        "docs/ERRORS.md should have:\n{expected}"
    );
}

#[test]
fn error_codes_are_unique() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_code(kind.answer().code), Some(kind));
    }
}
