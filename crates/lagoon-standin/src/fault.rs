//! Fault switches that all stand-ins share, and partial updates of fault switches.

use serde::{Serialize, de};
use serde_json::Value;

/// Faults of the transport, which are applied to a request before the stand-in handles it. A
/// service checks `cut` and `down` again before it sends a response, an engine between the parts of
/// a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transport {
    /// Connections are closed without a response. Never set by the platform, which answers 503.
    pub down: bool,
    /// Delay before a request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Probability that a request is dropped before it is handled, 0 to 1.
    pub loss: f64,
    /// Zones that are cut off: requests whose `Lagoon-Zone` header names one are held until the cut
    /// ends. After 30 s their connection is closed without a response.
    pub cut: Vec<String>,
}

/// A change of fault switches that names an unknown switch or has a value of the wrong type.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("fault switches: {0}")]
pub struct Error(pub String);

/// Returns the switches `current` with the fields of the JSON object `change` replaced.
///
/// # Errors
///
/// Returns an error if the change is not an object, names an unknown switch, or has a value of the
/// wrong type.
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
