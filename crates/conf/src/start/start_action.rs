use std::path::PathBuf;

/// The action selected by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAction {
    /// Serve with the settings from this file.
    Serve(PathBuf),
    /// Validate this settings file and exit.
    CheckSettings(PathBuf),
}
