use {
    super::{Problem, SettingsError},
    serde::de::DeserializeOwned,
    std::path::Path,
};

/// Settings that are checked as a whole once they are read.
pub trait Checked {
    /// Refuses values that are of the right type and still not allowed.
    ///
    /// # Errors
    ///
    /// The first [`Problem`] found.
    fn check(&self) -> Result<(), Problem>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] where the file can't be read, is not JSON or holds what is not allowed.
pub fn read_settings<S>(file: &Path) -> Result<S, SettingsError>
where
    S: DeserializeOwned + Checked,
{
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse_settings(&name, &text),
        Err(source) => Err(SettingsError::Unreadable { file: name, source }),
    }
}

/// Parses and checks the text of a settings file; `file` is its name in errors.
///
/// # Errors
///
/// [`SettingsError`] where the text is not JSON or holds what is not allowed.
pub fn parse_settings<S>(
    file: &str,
    text: &str,
) -> Result<S, SettingsError>
where
    S: DeserializeOwned + Checked,
{
    let refused = |problem| SettingsError::Refused {
        file: file.to_owned(),
        problem,
    };
    let json: serde_json::Value =
        serde_json::from_str(text).map_err(|source| SettingsError::NotJson {
            file: file.to_owned(),
            source,
        })?;
    let settings: S =
        serde_path_to_error::deserialize(&json).map_err(|e| refused(shape_problem(&json, &e)))?;
    settings.check().map_err(refused)?;
    Ok(settings)
}

/// What `--check-settings` prints: one line that says the file is in order.
///
/// # Errors
///
/// As [`read_settings`]; the daemon prints the error and exits with 2.
pub fn check_settings<S>(file: &Path) -> Result<String, SettingsError>
where
    S: DeserializeOwned + Checked,
{
    read_settings::<S>(file).map(|_| format!("settings file {}: in order", file.display()))
}

/// Turns a decoder's error into key, value and what is allowed.
fn shape_problem(
    json: &serde_json::Value,
    e: &serde_path_to_error::Error<serde_json::Error>,
) -> Problem {
    let key = e.path().to_string();
    let pointer = format!("/{}", key.replace(['.', '['], "/").replace(']', ""));
    let value = match key.as_str() {
        "." => Some(json),
        _ => json.pointer(&pointer),
    };
    Problem {
        key,
        value: match value {
            Some(serde_json::Value::Object(_)) => "this object".to_owned(),
            Some(value) => value.to_string(),
            None => "nothing".to_owned(),
        },
        allowed: e.inner().to_string(),
    }
}
