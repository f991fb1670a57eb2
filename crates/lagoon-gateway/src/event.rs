//! One line of the log: a JSON object that names what happened and what decided it.

use std::fmt;

/// A line under construction.
///
/// The event's name is a constant of the caller; values are texts and numbers.
#[derive(Debug)]
pub(crate) struct Line {
    text: String,
}

impl Line {
    /// A line about `event`.
    pub(crate) fn new(event: &'static str) -> Line {
        Line { text: format!("\"event\":\"{event}\"") }
    }

    /// Adds a text.
    pub(crate) fn text<T>(mut self, name: &'static str, value: T) -> Line
    where
        T: fmt::Display,
    {
        let value = serde_json::Value::String(value.to_string());
        self.text.push_str(&format!(",\"{name}\":{value}"));
        self
    }

    /// Adds a number.
    pub(crate) fn number<N>(mut self, name: &'static str, value: N) -> Line
    where
        N: fmt::Display,
    {
        self.text.push_str(&format!(",\"{name}\":{value}"));
        self
    }

    /// Adds a span, in milliseconds.
    pub(crate) fn span(self, name: &'static str, value: std::time::Duration) -> Line {
        self.number(name, value.as_millis())
    }

    /// Writes it as a state of the process that changed.
    pub(crate) fn info(self) {
        log::info!("{}", self.text);
    }

    /// Writes it as something lost or refused.
    pub(crate) fn warn(self) {
        log::warn!("{}", self.text);
    }
}
