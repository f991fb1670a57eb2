//! Deltas between two versions of a section's text.
//!
//! The design load is 26,000 customers in 20 sections of about 260 KB each, and 1,400 edits a day,
//! most of which change one customer. Sending the whole text of a section to each of 350 hosts at
//! every edit would exceed a host's network budget of 3 KB/s on average.
//!
//! Deltas operate on the bytes of the texts and not on the parsed values: whitespace and field
//! order are part of the text, and every host must have exactly the text that was stored.

use std::collections;

use sha2::Digest;

use crate::id;

/// Delimiter at which texts are split into pieces for matching. Nearly every piece then contains
/// the name of one entry, which makes it unique and easy to find.
const DELIMITER: char = '}';

/// One step in building the newer text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Copies bytes of the older text.
    Copy {
        /// Byte offset in the older text.
        start: usize,
        /// Number of bytes.
        length: usize,
    },
    /// Inserts new text.
    Insert(String),
}

/// Steps that build the text of one version from that of an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// Version that the delta applies to.
    pub from: id::Version,
    /// Version that the delta produces.
    pub to: id::Version,
    /// SHA-256 of the resulting text.
    pub hash: [u8; 32],
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// A version of a section and its text.
#[derive(Clone, Copy, Debug)]
pub struct VersionedText<'a> {
    /// The version.
    pub version: id::Version,
    /// The text.
    pub text: &'a str,
}

impl Delta {
    /// Computes the delta from `old` to `new`.
    ///
    /// ```
    /// use lagoonline::control::document::{Delta, VersionedText};
    /// use lagoonline::id::Version;
    /// let old = VersionedText { version: Version(1), text: r#"{"a": {"n": 1}, "b": {}}"# };
    /// let new = VersionedText { version: Version(2), text: r#"{"a": {"n": 1}, "c": {}}"# };
    /// let delta = Delta::new(old, new);
    /// assert_eq!(delta.apply(old.text).as_deref(), Some(new.text));
    /// assert_eq!(delta.apply("{}"), None);
    /// ```
    pub fn new(old: VersionedText<'_>, new: VersionedText<'_>) -> Delta {
        let hash = sha2::Sha256::digest(new.text.as_bytes()).into();
        Delta { from: old.version, to: new.version, hash, steps: steps(old.text, new.text) }
    }

    /// Builds the newer text; returns `None` if `old` is not the text that the delta was computed
    /// from or the delta is corrupt.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut text = String::new();
        for step in &self.steps {
            match step {
                Step::Copy { start, length } => {
                    text.push_str(old.get(*start..start.checked_add(*length)?)?);
                }
                Step::Insert(inserted) => text.push_str(inserted),
            }
        }
        let hash: [u8; 32] = sha2::Sha256::digest(text.as_bytes()).into();
        (hash == self.hash).then_some(text)
    }

    /// Returns the approximate size in bytes when sent over the network.
    pub fn size(&self) -> usize {
        // Encoded sizes of a copy step, of the framing of an insert step, and of versions and hash.
        let step = |step: &Step| match step {
            Step::Copy { .. } => 10,
            Step::Insert(text) => text.len() + 4,
        };
        40 + self.steps.iter().map(step).sum::<usize>()
    }
}

/// Computes the steps by matching whole pieces of the two texts.
fn steps(old: &str, new: &str) -> Vec<Step> {
    let mut offsets = collections::HashMap::<&str, usize>::new();
    let mut start = 0;
    for piece in old.split_inclusive(DELIMITER) {
        offsets.entry(piece).or_insert(start);
        start += piece.len();
    }
    let mut steps = Vec::new();
    for piece in new.split_inclusive(DELIMITER) {
        // Of several equal pieces, prefer the one that follows the last copied bytes in the older
        // text.
        let contiguous = last_copy_end(&steps).filter(|end| old[*end..].starts_with(piece));
        match contiguous.or_else(|| offsets.get(piece).copied()) {
            Some(start) => copy(&mut steps, start, piece.len()),
            None => insert(&mut steps, piece),
        }
    }
    steps
}

/// Returns the offset in the older text at which the last copy ends.
fn last_copy_end(steps: &[Step]) -> Option<usize> {
    steps.iter().rev().find_map(|step| match step {
        Step::Copy { start, length } => Some(start + length),
        Step::Insert(_) => None,
    })
}

/// Appends a copy step, or extends the last one if the bytes are contiguous.
fn copy(steps: &mut Vec<Step>, from: usize, more: usize) {
    if let Some(Step::Copy { start, length }) = steps.last_mut()
        && *start + *length == from
    {
        *length += more;
        return;
    }
    steps.push(Step::Copy { start: from, length: more });
}

/// Appends an insert step, or extends the last one.
fn insert(steps: &mut Vec<Step>, piece: &str) {
    if let Some(Step::Insert(text)) = steps.last_mut() {
        text.push_str(piece);
        return;
    }
    steps.push(Step::Insert(piece.to_owned()));
}
