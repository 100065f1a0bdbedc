use {
    super::{InvalidSetting, SettingsError},
    serde::de::DeserializeOwned,
    std::path::Path,
};

/// Settings that are validated after parsing.
pub trait Validate {
    /// Validates constraints beyond the types of the values.
    ///
    /// # Errors
    ///
    /// The first [`InvalidSetting`] found.
    fn validate(&self) -> Result<(), InvalidSetting>;
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] if the file cannot be read, is not JSON or contains invalid settings.
pub fn read_settings<S>(file: &Path) -> Result<S, SettingsError>
where
    S: DeserializeOwned + Validate,
{
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => parse_settings(&name, &text),
        Err(source) => Err(SettingsError::Unreadable { file: name, source }),
    }
}

/// Parses and validates the text of a settings file; `file` is its name in errors.
///
/// # Errors
///
/// [`SettingsError`] if the text is not JSON or contains invalid settings.
pub fn parse_settings<S>(
    file: &str,
    text: &str,
) -> Result<S, SettingsError>
where
    S: DeserializeOwned + Validate,
{
    let invalid = |problem| SettingsError::Invalid {
        file: file.to_owned(),
        problem,
    };
    let json: serde_json::Value =
        serde_json::from_str(text).map_err(|source| SettingsError::NotJson {
            file: file.to_owned(),
            source,
        })?;
    let settings: S =
        serde_path_to_error::deserialize(&json).map_err(|e| invalid(decode_error(&json, &e)))?;
    settings.validate().map_err(invalid)?;
    Ok(settings)
}

/// Validates a settings file and returns the success message of `--check-settings`.
///
/// # Errors
///
/// As [`read_settings`].
pub fn check_settings<S>(file: &Path) -> Result<String, SettingsError>
where
    S: DeserializeOwned + Validate,
{
    read_settings::<S>(file).map(|_| format!("settings file {}: in order", file.display()))
}

/// Converts a deserialization error into an [`InvalidSetting`] with key and value.
fn decode_error(
    json: &serde_json::Value,
    e: &serde_path_to_error::Error<serde_json::Error>,
) -> InvalidSetting {
    let key = e.path().to_string();
    let pointer = format!("/{}", key.replace(['.', '['], "/").replace(']', ""));
    let value = match key.as_str() {
        "." => Some(json),
        _ => json.pointer(&pointer),
    };
    InvalidSetting {
        key,
        value: match value {
            Some(serde_json::Value::Object(_)) => "this object".to_owned(),
            Some(value) => value.to_string(),
            None => "nothing".to_owned(),
        },
        allowed: e.inner().to_string(),
    }
}
