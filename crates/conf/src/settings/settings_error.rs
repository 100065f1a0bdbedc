/// One key of a settings file that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("key `{key}`: {value} is not allowed: {allowed}")]
pub struct Problem {
    /// The key, with dots between levels.
    pub key: String,
    /// The value found there, as JSON.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

/// Why a settings file can't be used.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("settings file {file}: {source}")]
    Unreadable {
        /// The file as it was named.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[display("settings file {file}: not JSON: {source}")]
    NotJson {
        /// The file as it was named.
        file: String,
        /// Where and why the parser stopped.
        source: serde_json::Error,
    },
    /// A key is unknown, missing, of the wrong type or out of range.
    #[display("settings file {file}: {problem}")]
    Refused {
        /// The file as it was named.
        file: String,
        /// The key and what is wrong with it.
        #[error(not(source))]
        problem: Problem,
    },
}
