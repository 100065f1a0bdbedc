use std::fmt::{Display, Write};

/// Builds the log line of one event.
///
/// # Examples
///
/// ```
/// use jasmine_telemetry::log::Line;
///
/// let line = Line::new("answered").with("status", 200).with("path", "a b");
/// assert_eq!(line.as_str(), r#"event=answered status=200 path="a b""#);
/// ```
#[derive(Clone, Debug)]
pub struct Line {
    text: String,
}

impl Line {
    /// Creates a line for the event called `event`.
    pub fn new(event: &str) -> Self {
        Self {
            text: String::from("event="),
        }
        .push_value(event)
    }

    /// Adds a pair; the value is quoted if it contains whitespace, control characters, `"` or `=`.
    #[must_use]
    pub fn with<V>(
        mut self,
        key: &str,
        value: V,
    ) -> Self
    where
        V: Display,
    {
        self.text.push(' ');
        self.text.push_str(key);
        self.text.push('=');
        self.push_value(&value.to_string())
    }

    /// Returns the text of the line.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Logs the line at level `error`: an operator should look at it.
    pub fn error(self) {
        log::error!("{}", self.text);
    }

    /// Logs the line at level `warn`: an operator should look at it if it persists.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }

    /// Logs the line at level `info`: normal operation.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs the line at level `debug`: for troubleshooting.
    pub fn debug(self) {
        log::debug!("{}", self.text);
    }

    fn push_value(
        mut self,
        value: &str,
    ) -> Self {
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !value.is_empty() && value.chars().all(is_plain) {
            self.text.push_str(value);
        } else {
            // `Debug` escapes quotes and line breaks, so that a value can't inject a log line.
            let _infallible = write!(self.text, "{value:?}");
        }
        self
    }
}
