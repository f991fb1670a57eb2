//! Log of recent deltas of sections, which are sent to other hosts instead of whole texts.

use std::collections;

use super::document;
use crate::id;

/// Number of deltas kept per section; a host that is further behind gets the whole text. At 1,400
/// edits per day this covers a quarter of an hour without links, even if all edits are made to the
/// same section.
const MAX_DELTAS: usize = 16;

/// Deltas are used only if the whole text is more than this many times their size.
const MIN_SIZE_RATIO: usize = 2;

/// Recent deltas of all sections at one host.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    deltas: collections::BTreeMap<id::Team, collections::VecDeque<document::Delta>>,
}

impl DeltaLog {
    /// Records the delta from `old`, the section previously in force, to `new`.
    pub fn record(&mut self, old: &document::Section, new: &document::Section) {
        let versioned = |section: &'_ document::Section| (section.version, section.text.clone());
        let ((from, old_text), (to, new_text)) = (versioned(old), versioned(new));
        let old = document::VersionedText { version: from, text: &old_text };
        let delta =
            document::Delta::new(old, document::VersionedText { version: to, text: &new_text });
        let deltas = self.deltas.entry(new.team.clone()).or_default();
        deltas.push_back(delta);
        if deltas.len() > MAX_DELTAS {
            deltas.pop_front();
        }
    }

    /// Returns the deltas that lead from version `from` to `section`. Returns none if they are not
    /// all known or not sufficiently smaller than the whole text.
    ///
    /// ```
    /// use lagoonline::control::{document::Section, delta_log::DeltaLog};
    /// use lagoonline::id::{Team, Version};
    /// let text = |weight: u32| {
    ///     let lines = (0..99).map(|n| format!(r#""c{n}": {{"weight": {weight}}}"#));
    ///     format!(r#"{{"customers": {{{}, "d": {{}}}}}}"#, lines.collect::<Vec<_>>().join(", "))
    /// };
    /// let parse = |version, text: &str| {
    ///     Section::parse(Team::from("a"), Version(version), text).unwrap()
    /// };
    /// let old = parse(1, &text(1));
    /// let new = parse(2, &text(1).replace(r#""d": {}"#, r#""d": {"weight": 2}"#));
    /// let mut log = DeltaLog::default();
    /// log.record(&old, &new);
    /// assert_eq!(log.since(Version(1), &new).len(), 1);
    /// assert_eq!(log.since(Version(0), &new).len(), 0);
    /// ```
    pub fn since(&self, from: id::Version, section: &document::Section) -> Vec<document::Delta> {
        let deltas = self.deltas.get(&section.team);
        let mut found = Vec::new();
        let mut version = from;
        for delta in deltas.into_iter().flatten().skip_while(|delta| delta.from != from) {
            if delta.from != version {
                return Vec::new();
            }
            version = delta.to;
            found.push(delta.clone());
        }
        let size: usize = found.iter().map(document::Delta::size).sum();
        let is_usable = version == section.version && size < section.text.len() / MIN_SIZE_RATIO;
        if is_usable { found } else { Vec::new() }
    }
}

/// Applies `deltas` to the section in force and returns the resulting text. Leading deltas that
/// start from other versions are skipped.
///
/// Returns `None` if no section is in force, no delta starts from its version, the following deltas
/// have a gap, or a delta is corrupt; the caller then has to request the whole text.
pub fn apply(section: Option<&document::Section>, deltas: &[document::Delta]) -> Option<String> {
    let section = section?;
    let (mut version, mut text) = (section.version, section.text.to_string());
    for delta in deltas.iter().skip_while(|delta| delta.from != section.version) {
        if delta.from != version {
            return None;
        }
        (version, text) = (delta.to, delta.apply(&text)?);
    }
    (version != section.version).then_some(text)
}
