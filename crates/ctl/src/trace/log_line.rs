use serde::Serialize;

/// One event of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LogLine {
    /// The process, as its log's file is called.
    pub process: String,
    /// When, as the log has it.
    pub time: String,
    /// The event's name.
    pub event: String,
    /// Its other pairs, in their order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; none where it is torn or no log line.
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
            let (value, after) = value(after)?;
            match key {
                "time" => line.time = value,
                "event" => line.event = value,
                _ => line.pairs.push((key.to_owned(), value)),
            }
            rest = after.trim_start();
        }
        (!line.time.is_empty() && !line.event.is_empty()).then_some(line)
    }

    /// The value of a pair.
    pub fn get(
        &self,
        key: &str,
    ) -> Option<&str> {
        let pair = self.pairs.iter().find(|(known, _)| known == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// The value of a pair, or a dash.
    pub fn word(
        &self,
        key: &str,
    ) -> &str {
        self.get(key).unwrap_or("-")
    }
}

/// A value, which is quoted where it holds spaces, and what follows it.
fn value(text: &str) -> Option<(String, &str)> {
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
