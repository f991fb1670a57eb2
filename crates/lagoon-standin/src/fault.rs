//! Fault switches: those that every port has, and how a change of some leaves the rest.

use serde::{Serialize, de};
use serde_json::Value;

/// What a server's port may do to a request before the server sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Port {
    /// Connections are closed without an answer.
    pub down: bool,
    /// Milliseconds before a request is looked at.
    pub delay_ms: u64,
    /// Share of requests that are lost before they are looked at, 0 to 1.
    pub loss: f64,
    /// Zones whose entry hosts get no answer.
    pub cut: Vec<String>,
}

/// The change names a switch that is not there or gives it a value of the wrong type.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("fault switches: {0}")]
pub struct Error(pub String);

/// The switches `current` with the fields of the object `change` put in.
///
/// # Errors
///
/// The change is no object, names an unknown switch, or a value does not fit.
///
/// ```
/// use lagoon_standin::{engine, fault};
/// let faults = engine::Faults::default();
/// let changed = fault::merge(&faults, &serde_json::json!({"down": true})).unwrap();
/// assert!(changed.down);
/// assert!(fault::merge(&faults, &serde_json::json!({"dwon": true})).is_err());
/// ```
pub fn merge<T>(current: &T, change: &Value) -> Result<T, Error>
where
    T: Serialize + de::DeserializeOwned,
{
    let Value::Object(change) = change else {
        return Err(Error("must be an object".to_owned()));
    };
    let mut value = serde_json::to_value(current).map_err(|error| Error(error.to_string()))?;
    for (name, item) in change {
        match value.get_mut(name) {
            Some(field) => *field = item.clone(),
            None => return Err(Error(format!("no switch {name}"))),
        }
    }
    serde_json::from_value(value).map_err(|error| Error(error.to_string()))
}
