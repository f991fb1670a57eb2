//! Log lines: each is a JSON object with an event and the values that explain it. An event here is
//! a kind of log line, not an event of a streamed answer.

use std::fmt;

use lagoonline::routing;

/// A log line under construction.
///
/// The event and the keys are constants, so they are not escaped; values are escaped if they are
/// text.
#[derive(Debug)]
pub(crate) struct Line {
    text: String,
}

impl Line {
    /// Creates a line about `event`.
    pub(crate) fn new(event: &'static str) -> Line {
        Line { text: format!("\"event\":\"{event}\"") }
    }

    /// Adds a text value.
    pub(crate) fn text<T>(mut self, name: &'static str, value: T) -> Line
    where
        T: fmt::Display,
    {
        let value = serde_json::Value::String(value.to_string());
        self.text.push_str(&format!(",\"{name}\":{value}"));
        self
    }

    /// Adds a number or a boolean.
    pub(crate) fn number<N>(mut self, name: &'static str, value: N) -> Line
    where
        N: fmt::Display,
    {
        self.text.push_str(&format!(",\"{name}\":{value}"));
        self
    }

    /// Adds a revision of the platform's store, as its version and era.
    pub(crate) fn revision(self, revision: routing::Revision) -> Line {
        self.number("version", revision.version).number("era", revision.era)
    }

    /// Adds a time span in milliseconds.
    pub(crate) fn span(self, name: &'static str, value: std::time::Duration) -> Line {
        self.number(name, value.as_millis())
    }

    /// Logs the line at level info, for a change of state.
    pub(crate) fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs the line at level warn, for something lost or refused.
    pub(crate) fn warn(self) {
        log::warn!("{}", self.text);
    }
}
