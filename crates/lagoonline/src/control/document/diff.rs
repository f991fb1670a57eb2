//! Human-readable difference between two versions of a section.

use std::fmt;

use serde_json::Value;

/// One difference, with the JSON pointer of the value.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// The value exists only in the newer text.
    Added(String, Value),
    /// The value exists only in the older text.
    Removed(String, Value),
    /// The old and the new value differ.
    Changed(String, Value, Value),
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Added(pointer, value) => write!(f, "+ {pointer}: {value}"),
            Difference::Removed(pointer, value) => write!(f, "- {pointer}: {value}"),
            Difference::Changed(pointer, old, new) => write!(f, "~ {pointer}: {old} -> {new}"),
        }
    }
}

/// Returns the differences from `old` to `new`, ordered by pointer; a text that is not valid JSON
/// is treated as `null`.
///
/// ```
/// use lagoonline::control::document;
/// let differences = document::diff(r#"{"a": 1, "b": {"c": 2}}"#, r#"{"a": 3, "b": {}, "d": 4}"#);
/// let differences: Vec<_> = differences.iter().map(ToString::to_string).collect();
/// assert_eq!(differences, ["~ /a: 1 -> 3", "- /b/c: 2", "+ /d: 4"]);
/// ```
pub fn diff(old: &str, new: &str) -> Vec<Difference> {
    let parse = |text| serde_json::from_str(text).unwrap_or(Value::Null);
    let mut differences = Vec::new();
    compare(&mut differences, "", &parse(old), &parse(new));
    differences
}

/// Compares objects field by field, and all other values as a whole.
fn compare(differences: &mut Vec<Difference>, pointer: &str, old: &Value, new: &Value) {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        if old != new {
            let pointer = if pointer.is_empty() { "/" } else { pointer };
            differences.push(Difference::Changed(pointer.to_owned(), old.clone(), new.clone()));
        }
        return;
    };
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let child_pointer = format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => compare(differences, &child_pointer, old, new),
            (Some(old), None) => differences.push(Difference::Removed(child_pointer, old.clone())),
            (None, Some(new)) => differences.push(Difference::Added(child_pointer, new.clone())),
            (None, None) => {}
        }
    }
}
