//! Parsing and validation of settings files, and comparison with the docs.

use {
    jasmine_conf::settings::{
        ControllerSettings, EntrySettings, GatewaySettings, Validate, check_settings,
        parse_settings,
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{collections::BTreeSet, fs, path::Path},
};

const DOCS: &str = include_str!("../../../docs/SETTINGS.md");

fn gateway() -> Value {
    json!({
        "vm": 1,
        "data_centre": "gt-1",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "127.0.0.1:0"},
        "controller": "127.0.0.1:7001"
    })
}

fn controller() -> Value {
    json!({
        "vm": 1,
        "data_centre": "gt-1",
        "listen": {"operators": "127.0.0.1:0", "peers": "127.0.0.1:0", "status": "127.0.0.1:0"},
        "platform": {"kv": ["http://127.0.0.1:2379"], "vms": "http://127.0.0.1:2380"},
        "operators": {"token_digests": []}
    })
}

fn entry() -> Value {
    let any = "127.0.0.1:0";
    json!({
        "vm": "vm-1",
        "data_centre": "gt-1",
        "listen": {"callers": any, "readiness": any, "peers": any, "metrics": any},
        "store": "127.0.0.1:2379"
    })
}

fn refusal<S>(
    mut json: Value,
    key: &str,
    value: Value,
) -> String
where
    S: DeserializeOwned + Validate,
{
    put(&mut json, key, value);
    match parse_settings::<S>("vm.json", &json.to_string()) {
        Ok(_) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    }
}

fn put(
    json: &mut Value,
    key: &str,
    value: Value,
) {
    let mut at = json;
    for name in key.split('.') {
        at = &mut at[name];
    }
    *at = value;
}

#[test]
fn a_refused_file_names_file_key_value_and_what_is_allowed() {
    let rows = [
        (
            refusal::<GatewaySettings>(gateway(), "limits.max_body_bytes", json!(0)),
            "settings file vm.json: key `limits.max_body_bytes`: 0 is not allowed: 1024 to 1073741824",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "limits.max_body_byte", json!(5000)),
            "key `limits.max_body_byte`: 5000 is not allowed: unknown field `max_body_byte`, expected one of",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "config_stale", json!(5000)),
            "unknown field `config_stale`",
        ),
        (
            refusal::<ControllerSettings>(controller(), "lease", json!(5000)),
            "unknown field `lease`",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "controller", json!("nowhere")),
            "key `controller`: \"nowhere\" is not allowed: invalid socket address syntax",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "vm", json!("one")),
            "key `vm`: \"one\" is not allowed: invalid type: string \"one\", expected u32",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "log.level", json!("loud")),
            "unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`",
        ),
        (
            refusal::<GatewaySettings>(gateway(), "listen", json!({"callers": "127.0.0.1:0"})),
            "key `listen`: this object is not allowed: missing field `peers`",
        ),
        (
            refusal::<ControllerSettings>(controller(), "platform.kv", json!([])),
            "key `platform.kv`: [] is not allowed: one address or more",
        ),
        (
            refusal::<ControllerSettings>(controller(), "platform.kv", json!(["10.0.0.1:2379"])),
            "key `platform.kv[0]`: \"10.0.0.1:2379\" is not allowed: an address such as",
        ),
        (
            refusal::<ControllerSettings>(
                controller(),
                "operators.token_digests",
                json!(["secret"]),
            ),
            "key `operators.token_digests[0]`: \"secret\" is not allowed: 64 lower-case hex digits",
        ),
        (
            refusal::<ControllerSettings>(controller(), "stop.grace_ms", json!(40_000)),
            "key `stop.grace_ms`: 40000 is not allowed: 0 to 30000",
        ),
    ];
    for (message, expected) in rows {
        assert!(message.contains(expected), "{message}\nlacks: {expected}");
    }
}

#[test]
fn a_json_syntax_error_names_its_line() {
    let message = parse_settings::<GatewaySettings>("vm.json", "{\n  \"vm\": 1,,\n}").unwrap_err();
    assert!(
        message.to_string().contains("vm.json: not JSON: ")
            && message.to_string().contains("line 2")
    );
    let message = check_settings::<GatewaySettings>(Path::new("/nowhere/vm.json")).unwrap_err();
    assert!(
        message
            .to_string()
            .starts_with("settings file /nowhere/vm.json: ")
    );
}

#[test]
fn check_settings_confirms_a_valid_file() {
    let file = std::env::temp_dir().join(format!("jasmine-settings-{}.json", std::process::id()));
    fs::write(&file, controller().to_string()).unwrap();
    let message = check_settings::<ControllerSettings>(&file).unwrap();
    assert!(message.ends_with(": in order"));
    fs::remove_file(&file).unwrap();
}

#[test]
fn decoders_survive_any_bytes() {
    bolero::check!().for_each(|bytes| {
        let text = String::from_utf8_lossy(bytes);
        drop(parse_settings::<GatewaySettings>("any", &text));
        drop(parse_settings::<ControllerSettings>("any", &text));
        drop(parse_settings::<EntrySettings>("any", &text));
    });
}

/// A row of a settings table in the docs.
struct Row {
    key: String,
    default: String,
    allowed: String,
}

fn rows_of(daemon: &str) -> Vec<Row> {
    let section = DOCS
        .split("\n### ")
        .find(|section| section.starts_with(daemon))
        .unwrap();
    let section = section.split("\n## ").next().unwrap();
    section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<_> = line.split('|').map(str::trim).collect();
            Row {
                key: cells[1].trim_matches('`').to_owned(),
                default: cells[2].to_owned(),
                allowed: cells[3].to_owned(),
            }
        })
        .collect()
}

/// Collects all keys with their values; levels are joined by dots. An empty object is a value: its
/// keys are names that operators choose.
fn flatten(
    json: &Value,
    prefix: &str,
    into: &mut Vec<(String, Value)>,
) {
    for (name, value) in json.as_object().unwrap() {
        let key = format!("{prefix}{name}");
        if value.as_object().is_some_and(|object| !object.is_empty()) {
            flatten(value, &format!("{key}."), into);
        } else {
            into.push((key, value.clone()));
        }
    }
}

fn compare<S>(
    daemon: &str,
    given: &Value,
) where
    S: DeserializeOwned + Serialize + Validate,
{
    let rows = rows_of(daemon);
    let settings: S = parse_settings("given", &given.to_string()).unwrap();
    let mut in_force = Vec::new();
    flatten(&serde_json::to_value(&settings).unwrap(), "", &mut in_force);
    let mut named = Vec::new();
    flatten(given, "", &mut named);
    let named: BTreeSet<_> = named.into_iter().map(|(key, _)| key).collect();
    let documented: BTreeSet<_> = rows.iter().map(|row| row.key.clone()).collect();
    let existing: BTreeSet<_> = in_force.iter().map(|(key, _)| key.clone()).collect();
    assert_eq!(documented, existing, "{daemon}");
    for (key, value) in &in_force {
        let row = rows.iter().find(|row| row.key == *key).unwrap();
        let default = if named.contains(key) {
            String::new()
        } else {
            value.to_string()
        };
        assert_eq!(row.default, default, "{daemon} {key}");
    }
    for row in rows {
        compare_range::<S>(given, &row);
    }
}

/// Asserts that both ends of a documented range are accepted and values beyond are refused.
fn compare_range<S>(
    given: &Value,
    row: &Row,
) where
    S: DeserializeOwned + Validate,
{
    let Some((least, most)) = row.allowed.split_once(" to ") else {
        return;
    };
    let (least, most): (u64, u64) = (least.parse().unwrap(), most.parse().unwrap());
    let message = |n: u64| {
        let mut given = given.clone();
        // The grace period may not exceed the deadline.
        if row.key == "stop.deadline_ms" {
            put(&mut given, "stop.grace_ms", json!(0));
        }
        refusal::<S>(given, &row.key, json!(n))
    };
    assert_eq!(message(least), "accepted", "{}", row.key);
    assert_eq!(message(most), "accepted", "{}", row.key);
    for beyond in [least.checked_sub(1), Some(most + 1)].into_iter().flatten() {
        let message = message(beyond);
        assert!(
            message.ends_with(&format!("{beyond} is not allowed: {}", row.allowed)),
            "{message}"
        );
    }
}

#[test]
fn the_docs_list_every_key_with_its_default_and_range() {
    compare::<GatewaySettings>("jasmine-gateway", &gateway());
    compare::<ControllerSettings>("jasmine-controller", &controller());
    compare::<EntrySettings>("jasmine-entry", &entry());
}

#[test]
fn entry_settings_are_validated() {
    let rows = [
        (
            refusal::<EntrySettings>(entry(), "stop_s", json!(0)),
            "key `stop_s`: 0 is not allowed: 1 to 3600",
        ),
        (
            refusal::<EntrySettings>(entry(), "repeats", json!({"ratio": -0.1})),
            "key `repeats.ratio`: -0.1 is not allowed: between 0 and 10",
        ),
        (
            refusal::<EntrySettings>(entry(), "store", json!("nowhere")),
            "key `store`: \"nowhere\" is not allowed: invalid socket address syntax",
        ),
        (
            refusal::<EntrySettings>(entry(), "peer", json!(1)),
            "unknown field `peer`",
        ),
    ];
    for (message, expected) in rows {
        assert!(message.contains(expected), "{message}\nlacks: {expected}");
    }
}
