use std::path::PathBuf;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Serve with the settings in this file.
    Serve(PathBuf),
    /// Check this file and say whether it is in order.
    CheckSettings(PathBuf),
}
