//! What refused requests have in common.

use std::sync;

use crate::id;
use crate::lifecycle::fingerprint::Fingerprint;

/// Whose a prompt is, and the parts that other prompts may have as well.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The customer; empty if the request has none.
    pub customer: id::Customer,
    /// The parts, in the order of the prompt.
    pub parts: sync::Arc<[id::Part]>,
}

/// A set of parts. Prompts that hold all of them are refused: those of one customer, or all.
///
/// ```
/// use lagoonline::lifecycle::quarantine::{Pattern, Prompt};
/// let pattern = Pattern { customer: None, parts: vec!["a1".into(), "b2".into()] };
/// let with = |parts: &[&str]| {
///     let parts = parts.iter().map(|part| (*part).into()).collect();
///     Prompt { customer: "acme".into(), parts }
/// };
/// assert!(pattern.matches(&with(&["b2", "c3", "a1"])));
/// assert!(!pattern.matches(&with(&["a1", "c3"])));
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pattern {
    /// The only customer whose prompts are refused; `None` if all are.
    pub customer: Option<id::Customer>,
    /// The parts, sorted; at least one.
    pub parts: Vec<id::Part>,
}

impl Pattern {
    /// Returns whether `prompt` is refused.
    pub fn matches(&self, prompt: &Prompt) -> bool {
        self.customer.as_ref().is_none_or(|customer| *customer == prompt.customer)
            && self.parts.iter().all(|part| prompt.parts.contains(part))
    }

    /// Returns whether this pattern refuses whatever `other` refuses.
    pub(super) fn covers(&self, other: &Pattern) -> bool {
        (self.customer.is_none() || self.customer == other.customer)
            && self.parts.iter().all(|part| other.parts.contains(part))
    }

    /// Returns the fingerprint that identifies the pattern. No request has it.
    pub fn fingerprint(&self) -> Fingerprint {
        let customer = self.customer.as_ref().map_or("", id::Customer::as_str);
        let scope = if self.customer.is_some() { "one" } else { "all" };
        let parts: Vec<_> = self.parts.iter().map(id::Part::as_str).collect();
        Fingerprint::of_pattern(customer, scope, &parts.join(" "))
    }
}
