use {
    crate::CtlError,
    comfy_table::{ContentArrangement, Table},
    serde::Serialize,
    std::io::{Write, stdout},
};

/// Table preset with only a rule below the header, so that rows work with `grep` and `cut`.
const TABLE_PRESET: &str = "    ────           ";

/// Prints a value as JSON.
pub fn json<T>(value: &T) -> Result<(), CtlError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value).map_err(|e| CtlError::Output(e.into()))?;
    line(&text)
}

/// Prints a line to standard output.
pub fn line(text: &str) -> Result<(), CtlError> {
    // `println!` would panic if the reading end of a pipe was closed.
    Ok(writeln!(stdout(), "{text}")?)
}

/// Prints a table.
pub fn table<R>(
    header: &[&str],
    rows: R,
) -> Result<(), CtlError>
where
    R: IntoIterator<Item = Vec<String>>,
{
    let mut table = Table::new();
    table
        .load_preset(TABLE_PRESET)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header)
        .add_rows(rows);
    line(&table.to_string())
}

/// Formats a flag as `yes` or `no`.
pub fn yes_no(yes: bool) -> String {
    if yes { "yes" } else { "no" }.to_owned()
}
