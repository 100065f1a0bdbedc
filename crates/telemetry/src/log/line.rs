use std::fmt::{Display, Write};

/// One event on its way into the log.
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
    /// A line for the event called `event`.
    pub fn new(event: &str) -> Self {
        Self {
            text: String::from("event="),
        }
        .value(event)
    }

    /// Adds a pair; the value is quoted where a space or a control character would split the line.
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
        self.value(&value.to_string())
    }

    /// The line as it is written.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Logs it as something an operator should look at.
    pub fn error(self) {
        log::error!("{}", self.text);
    }

    /// Logs it as something that may need a look if it goes on.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }

    /// Logs it as part of ordinary work.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs it for whoever looks for a fault.
    pub fn debug(self) {
        log::debug!("{}", self.text);
    }

    fn value(
        mut self,
        value: &str,
    ) -> Self {
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !value.is_empty() && value.chars().all(plain) {
            self.text.push_str(value);
        } else {
            // Debug escapes quotes and line ends, so that a value can't forge a second line.
            let _infallible = write!(self.text, "{value:?}");
        }
        self
    }
}
