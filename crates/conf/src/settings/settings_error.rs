/// An invalid key or value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("key `{key}`: {value} is not allowed: {allowed}")]
pub struct InvalidSetting {
    /// The key, with levels separated by dots.
    pub key: String,
    /// The value as JSON.
    pub value: String,
    /// A description of the allowed values.
    pub allowed: String,
}

/// Why a settings file cannot be used.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("settings file {file}: {source}")]
    Unreadable {
        /// The path as given by the user.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[display("settings file {file}: not JSON: {source}")]
    NotJson {
        /// The path as given by the user.
        file: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A key is unknown, missing, of the wrong type or out of range.
    #[display("settings file {file}: {problem}")]
    Invalid {
        /// The path as given by the user.
        file: String,
        /// The invalid setting.
        #[error(not(source))]
        problem: InvalidSetting,
    },
}
