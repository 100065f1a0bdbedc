use serde::Serialize;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LogLine {
    /// Process name: the log file's name without extension.
    pub process: String,
    /// Timestamp as logged.
    pub time: String,
    /// Event name.
    pub event: String,
    /// The remaining key-value pairs, in log order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it is truncated or not a log line.
    pub fn parse(
        process: &str,
        text: &str,
    ) -> Option<Self> {
        let mut line = Self {
            process: process.to_owned(),
            time: String::new(),
            event: String::new(),
            pairs: Vec::new(),
        };
        let mut rest = text.trim_end();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=')?;
            let (value, after) = split_value(after)?;
            match key {
                "time" => line.time = value,
                "event" => line.event = value,
                _ => line.pairs.push((key.to_owned(), value)),
            }
            rest = after.trim_start();
        }
        (!line.time.is_empty() && !line.event.is_empty()).then_some(line)
    }

    /// Returns the value of a key.
    pub fn get(
        &self,
        key: &str,
    ) -> Option<&str> {
        let pair = self.pairs.iter().find(|(known, _)| known == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a key, or `-`.
    pub fn get_or_dash(
        &self,
        key: &str,
    ) -> &str {
        self.get(key).unwrap_or("-")
    }
}

/// Splits off a value, quoted or up to the next space, and returns it with the rest.
fn split_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return Some((text[..end].to_owned(), &text[end..]));
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => value.push(chars.next()?.1),
            c => value.push(c),
        }
    }
    None
}
