//! Human-readable difference between two versions of a section.

use std::fmt;

use serde_json::Value;

/// One difference, identified by JSON pointer.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// The value exists only in the newer text.
    Added(String, Value),
    /// The value exists only in the older text.
    Removed(String, Value),
    /// The old and the new value differ.
    Changed(String, Value, Value),
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Line::Added(pointer, value) => write!(f, "+ {pointer}: {value}"),
            Line::Removed(pointer, value) => write!(f, "- {pointer}: {value}"),
            Line::Changed(pointer, old, new) => write!(f, "~ {pointer}: {old} -> {new}"),
        }
    }
}

/// Returns the differences from `old` to `new`, ordered by pointer; a text that is not valid JSON
/// is treated as `null`.
///
/// ```
/// use lagoonline::control::document;
/// let lines = document::diff(r#"{"a": 1, "b": {"c": 2}}"#, r#"{"a": 3, "b": {}, "d": 4}"#);
/// let lines: Vec<_> = lines.iter().map(ToString::to_string).collect();
/// assert_eq!(lines, ["~ /a: 1 -> 3", "- /b/c: 2", "+ /d: 4"]);
/// ```
pub fn diff(old: &str, new: &str) -> Vec<Line> {
    let parse = |text| serde_json::from_str(text).unwrap_or(Value::Null);
    let mut lines = Vec::new();
    compare(&mut lines, "", &parse(old), &parse(new));
    lines
}

/// Compares objects field by field, and all other values as a whole.
fn compare(lines: &mut Vec<Line>, pointer: &str, old: &Value, new: &Value) {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        if old != new {
            let pointer = if pointer.is_empty() { "/" } else { pointer };
            lines.push(Line::Changed(pointer.to_owned(), old.clone(), new.clone()));
        }
        return;
    };
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let child_pointer = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => compare(lines, &child_pointer, old, new),
            (Some(old), None) => lines.push(Line::Removed(child_pointer, old.clone())),
            (None, Some(new)) => lines.push(Line::Added(child_pointer, new.clone())),
            (None, None) => {}
        }
    }
}
