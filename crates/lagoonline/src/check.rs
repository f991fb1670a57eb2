//! Reads JSON with validation: all faults of a text are found in one pass and located by JSON
//! pointer. A fault is a single validation error.

use std::cell;
use std::collections;
use std::fmt;
use std::ops;

use serde_json::Value;

/// A single validation error in a JSON text.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// JSON pointer (RFC 6901) to the offending value; empty for the whole text.
    pub pointer: String,
    /// What is wrong with the value.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The whole text, whose pointer is empty, is displayed as `/`.
        let pointer = if self.pointer.is_empty() { "/" } else { &self.pointer };
        write!(f, "{pointer}: {}", self.reason)
    }
}

/// All faults of a JSON text, in pointer order.
#[derive(Clone, Debug, Default, Eq, PartialEq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// Reads the fields of a JSON object and collects the faults. Fields that are never read are
/// reported as unknown.
#[derive(Debug)]
pub struct Reader<'a> {
    fields: Option<&'a serde_json::Map<String, Value>>,
    pointer: String,
    seen: cell::RefCell<collections::BTreeSet<&'a str>>,
    faults: &'a cell::RefCell<Vec<Fault>>,
}

/// Parses `text` and reads its top-level object with `read`.
///
/// # Errors
///
/// Returns all faults found: invalid JSON, wrong types, values out of range, unknown fields.
///
/// ```
/// use lagoonline::check;
/// let read = |reader: &check::Reader<'_>| (reader.number("a", 1, 0..=9), reader.text("b", "x"));
/// assert_eq!(check::parse(r#"{"a": 3}"#, read), Ok((3, "x".to_owned())));
/// let faults = check::parse(r#"{"a": 10, "c": 1}"#, read).unwrap_err();
/// assert_eq!(faults.to_string(), "/a: 10 is not within 0 to 9\n/c: unknown field");
/// ```
pub fn parse<T, Read>(text: &str, read: Read) -> Result<T, Faults>
where
    Read: FnOnce(&Reader<'_>) -> T,
{
    match serde_json::from_str::<Value>(text) {
        Ok(value) => object(&value, read),
        Err(error) => {
            Err(Faults(vec![Fault { pointer: String::new(), reason: error.to_string() }]))
        }
    }
}

/// Reads the already parsed object `value` with `read`.
///
/// # Errors
///
/// Same as [`parse`], except for invalid JSON.
///
/// ```
/// use lagoonline::check;
/// let value = serde_json::json!({"on": true});
/// assert_eq!(check::object(&value, |reader| reader.flag("on", false)), Ok(true));
/// ```
pub fn object<T, Read>(value: &Value, read: Read) -> Result<T, Faults>
where
    Read: FnOnce(&Reader<'_>) -> T,
{
    let faults = cell::RefCell::new(Vec::new());
    let result = Reader::enter(value, String::new(), &faults, read);
    let mut found = faults.into_inner();
    if found.is_empty() {
        return Ok(result);
    }
    found.sort();
    Err(Faults(found))
}

impl<'a> Reader<'a> {
    fn enter<T, Read>(
        value: &'a Value,
        pointer: String,
        faults: &'a cell::RefCell<Vec<Fault>>,
        read: Read,
    ) -> T
    where
        Read: FnOnce(&Reader<'_>) -> T,
    {
        let fields = value.as_object();
        let reader = Reader { fields, pointer, seen: cell::RefCell::default(), faults };
        if fields.is_none() {
            reader.fault_here("must be an object");
        }
        let result = read(&reader);
        reader.refuse_unknown();
        result
    }

    fn refuse_unknown(&self) {
        let seen = self.seen.borrow();
        let names = self.fields.into_iter().flat_map(|fields| fields.keys());
        for name in names.filter(|name| !seen.contains(name.as_str())) {
            self.fault(name, "unknown field");
        }
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        let (key, value) = self.fields?.get_key_value(name)?;
        self.seen.borrow_mut().insert(key.as_str());
        Some(value)
    }

    fn join(&self, name: &str) -> String {
        format!("{}/{}", self.pointer, name.replace('~', "~0").replace('/', "~1"))
    }

    /// Returns the JSON pointer of the object being read.
    pub fn pointer(&self) -> &str {
        &self.pointer
    }

    /// Returns whether the field is present.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Records a fault of the field `name`.
    pub fn fault<R>(&self, name: &str, reason: R)
    where
        R: Into<String>,
    {
        let fault = Fault { pointer: self.join(name), reason: reason.into() };
        self.faults.borrow_mut().push(fault);
    }

    /// Records a fault of one item of the array in the field `name`.
    pub fn fault_item<R>(&self, name: &str, index: usize, reason: R)
    where
        R: Into<String>,
    {
        let pointer = format!("{}/{index}", self.join(name));
        self.faults.borrow_mut().push(Fault { pointer, reason: reason.into() });
    }

    /// Records a fault of the object itself.
    pub fn fault_here<R>(&self, reason: R)
    where
        R: Into<String>,
    {
        let fault = Fault { pointer: self.pointer.clone(), reason: reason.into() };
        self.faults.borrow_mut().push(fault);
    }

    fn typed<T, Pick>(&self, name: &str, kind: &str, pick: Pick) -> Option<T>
    where
        Pick: FnOnce(&'a Value) -> Option<T>,
    {
        let value = self.get(name)?;
        let picked = pick(value);
        if picked.is_none() {
            self.fault(name, format!("must be {kind}"));
        }
        picked
    }

    /// Returns an integer within `range`, or `default` if the field is absent.
    pub fn number(&self, name: &str, default: u64, range: ops::RangeInclusive<u64>) -> u64 {
        let Some(number) = self.typed(name, "a whole number", Value::as_u64) else {
            return default;
        };
        if !range.contains(&number) {
            let reason = format!("{number} is not within {} to {}", range.start(), range.end());
            self.fault(name, reason);
        }
        number
    }

    /// Returns a number within `range`, or `default` if the field is absent.
    pub fn float(&self, name: &str, default: f64, range: ops::RangeInclusive<f64>) -> f64 {
        let Some(number) = self.typed(name, "a number", Value::as_f64) else {
            return default;
        };
        if !range.contains(&number) {
            let reason = format!("{number} is not within {} to {}", range.start(), range.end());
            self.fault(name, reason);
        }
        number
    }

    /// Returns a boolean, or `default` if the field is absent.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        self.typed(name, "true or false", Value::as_bool).unwrap_or(default)
    }

    /// Returns a string, or `default` if the field is absent.
    pub fn text(&self, name: &str, default: &str) -> String {
        self.typed(name, "a text", Value::as_str).unwrap_or(default).to_owned()
    }

    /// Returns a string that must be present and not empty.
    pub fn required(&self, name: &str) -> String {
        let text = self.text(name, "");
        if text.is_empty() && self.get(name).is_none_or(Value::is_string) {
            self.fault(name, "must be given and not be empty");
        }
        text
    }

    /// Returns a value parsed from a string, such as a socket address, or `None` if the field is
    /// absent.
    pub fn parsed<T>(&self, name: &str, kind: &str) -> Option<T>
    where
        T: std::str::FromStr,
    {
        self.typed(name, kind, |value| value.as_str()?.parse().ok())
    }

    /// Like [`Reader::parsed`], but the field must be present; returns `default` after a fault.
    pub fn required_parsed<T>(&self, name: &str, kind: &str, default: T) -> T
    where
        T: std::str::FromStr,
    {
        if !self.has(name) {
            self.fault(name, "must be given");
        }
        self.parsed(name, kind).unwrap_or(default)
    }

    /// Returns an array of strings; empty if the field is absent.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let items = self.typed(name, "an array", Value::as_array);
        let mut texts = Vec::new();
        for (index, item) in items.into_iter().flatten().enumerate() {
            match item.as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => self.fault_item(name, index, "must be a text"),
            }
        }
        texts
    }

    /// Returns an object read with `read`, or `None` if the field is absent.
    pub fn child<T, Read>(&self, name: &str, read: Read) -> Option<T>
    where
        Read: FnOnce(&Reader<'_>) -> T,
    {
        let value = self.get(name)?;
        Some(Reader::enter(value, self.join(name), self.faults, read))
    }

    /// Returns the entries of an object with arbitrary field names, each value read with `read`;
    /// empty if the field is absent.
    pub fn map<T, Read>(&self, name: &str, mut read: Read) -> Vec<(String, T)>
    where
        Read: FnMut(&str, &Reader<'_>) -> T,
    {
        let pointer = self.join(name);
        let entries = self.typed(name, "an object", Value::as_object);
        let mut result = Vec::new();
        for (key, value) in entries.into_iter().flatten() {
            let item_pointer = format!("{pointer}/{}", key.replace('~', "~0").replace('/', "~1"));
            let item = Reader::enter(value, item_pointer, self.faults, |reader| read(key, reader));
            result.push((key.clone(), item));
        }
        result
    }

    /// Returns the items of an array of objects, each read with `read`; empty if the field is
    /// absent.
    pub fn list<T, Read>(&self, name: &str, mut read: Read) -> Vec<T>
    where
        Read: FnMut(&Reader<'_>) -> T,
    {
        let pointer = self.join(name);
        let items = self.typed(name, "an array", Value::as_array);
        let mut result = Vec::new();
        for (index, value) in items.into_iter().flatten().enumerate() {
            let item_pointer = format!("{pointer}/{index}");
            result.push(Reader::enter(value, item_pointer, self.faults, &mut read));
        }
        result
    }
}
