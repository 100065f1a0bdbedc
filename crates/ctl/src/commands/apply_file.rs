use {
    crate::CtlError,
    jasmine_conf::tree::EditOp,
    serde::Deserialize,
    std::{fs, io::Read},
};

/// What a bulk file may hold.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Bulk {
    ops: Vec<EditOp>,
}

/// Reads the ops of a file, or of standard input for `-`.
///
/// The file's form is checked here, so that an error tells the line; whether the ops fit the tree is
/// checked by the controller as a whole, before anything is written.
pub(super) fn read(file: &str) -> Result<Vec<EditOp>, CtlError> {
    let refused = |reason: String| CtlError::File {
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
    .map_err(|e| refused(e.to_string()))?;
    let ops = if text.trim_start().starts_with('[') {
        serde_json::from_str(&text)
    } else {
        serde_json::from_str::<Bulk>(&text).map(|bulk| bulk.ops)
    };
    ops.map_err(|e| refused(e.to_string()))
}
