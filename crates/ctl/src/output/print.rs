use {
    crate::CtlError,
    comfy_table::{ContentArrangement, Table},
    serde::Serialize,
    std::io::{Write, stdout},
};

/// Nothing but a line below the header, so that a row is a line to search and cut.
const LINE_BELOW_HEADER: &str = "    ────           ";

/// Prints a value as JSON.
pub fn json<T>(value: &T) -> Result<(), CtlError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value).map_err(|e| CtlError::Output(e.into()))?;
    line(&text)
}

/// Prints a line.
pub fn line(text: &str) -> Result<(), CtlError> {
    // Not `println!`, which panics when the reader of a pipe has gone.
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
        .load_preset(LINE_BELOW_HEADER)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header)
        .add_rows(rows);
    line(&table.to_string())
}

/// A flag as a word.
pub fn yes_no(yes: bool) -> String {
    if yes { "yes" } else { "no" }.to_owned()
}
