use {
    crate::CtlError,
    jasmine_conf::tree::EditOp,
    serde::Deserialize,
    std::{fs, io::Read},
};

/// A bulk file in object form.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OpsFile {
    ops: Vec<EditOp>,
}

/// Reads the ops of a file, or of standard input for `-`.
///
/// Only the syntax is checked here, with line numbers in errors; the controller validates the ops
/// against the tree before it writes anything.
pub(super) fn read(file: &str) -> Result<Vec<EditOp>, CtlError> {
    let file_error = |reason: String| CtlError::File {
        file: file.to_owned(),
        reason,
    };
    let text = match file {
        "-" => {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text).map(|_| text)
        }
        file => fs::read_to_string(file),
    }
    .map_err(|e| file_error(e.to_string()))?;
    let ops = if text.trim_start().starts_with('[') {
        serde_json::from_str(&text)
    } else {
        serde_json::from_str::<OpsFile>(&text).map(|file| file.ops)
    };
    ops.map_err(|e| file_error(e.to_string()))
}
