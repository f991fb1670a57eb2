//! A section's text as a change of the text before it.
//!
//! Load pattern: 26,000 customers, 1,400 edits a day, most of one customer. Whole texts of some
//! 260 KB to each of 350 hosts at each edit are above a node's budget of 3 KB/s on average. What
//! is sent is made of the texts' bytes, not of their values: operators' spaces and order of fields
//! are part of the text, and every host must have exactly what was stored.

use std::collections;

use sha2::Digest;

use crate::id;

/// Ends a piece: nearly every piece then has one name in it and is found by it.
const PIECE_END: char = '}';

/// One step in making the newer text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Bytes of the older text.
    Copy {
        /// Where they start.
        start: usize,
        /// How many.
        length: usize,
    },
    /// New text.
    Insert(String),
}

/// How the text of one version is made from that of an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The earlier version.
    pub from: id::Version,
    /// The version made.
    pub to: id::Version,
    /// SHA-256 of the text made.
    pub hash: [u8; 32],
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// A version with its text.
#[derive(Clone, Copy, Debug)]
pub struct Text<'a> {
    /// The version.
    pub version: id::Version,
    /// The text.
    pub text: &'a str,
}

impl Delta {
    /// How `new` is made from `old`.
    ///
    /// ```
    /// use lagoonline::control::document::{Delta, Text};
    /// use lagoonline::id::Version;
    /// let old = Text { version: Version(1), text: r#"{"a": {"n": 1}, "b": {}}"# };
    /// let new = Text { version: Version(2), text: r#"{"a": {"n": 1}, "c": {}}"# };
    /// let delta = Delta::new(old, new);
    /// assert_eq!(delta.apply(old.text).as_deref(), Some(new.text));
    /// assert_eq!(delta.apply("{}"), None);
    /// ```
    pub fn new(old: Text<'_>, new: Text<'_>) -> Delta {
        let hash = sha2::Sha256::digest(new.text.as_bytes()).into();
        Delta { from: old.version, to: new.version, hash, steps: steps(old.text, new.text) }
    }

    /// The newer text; `None` when `old` is not the text that the delta was made from, or the
    /// delta was damaged.
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

    /// Bytes that it takes to send, about.
    pub fn size(&self) -> usize {
        let step = |step: &Step| match step {
            Step::Copy { .. } => 10,
            Step::Insert(text) => text.len() + 4,
        };
        40 + self.steps.iter().map(step).sum::<usize>()
    }
}

fn steps(old: &str, new: &str) -> Vec<Step> {
    let mut places = collections::HashMap::<&str, usize>::new();
    let mut start = 0;
    for piece in old.split_inclusive(PIECE_END) {
        places.entry(piece).or_insert(start);
        start += piece.len();
    }
    let mut steps = Vec::new();
    for piece in new.split_inclusive(PIECE_END) {
        // Pieces that are alike are taken in the order of the older text.
        let following = follows(&steps).filter(|end| old[*end..].starts_with(piece));
        match following.or_else(|| places.get(piece).copied()) {
            Some(start) => copy(&mut steps, start, piece.len()),
            None => insert(&mut steps, piece),
        }
    }
    steps
}

/// Where the older text goes on after the last copy.
fn follows(steps: &[Step]) -> Option<usize> {
    steps.iter().rev().find_map(|step| match step {
        Step::Copy { start, length } => Some(start + length),
        Step::Insert(_) => None,
    })
}

fn copy(steps: &mut Vec<Step>, from: usize, more: usize) {
    if let Some(Step::Copy { start, length }) = steps.last_mut()
        && *start + *length == from
    {
        *length += more;
        return;
    }
    steps.push(Step::Copy { start: from, length: more });
}

fn insert(steps: &mut Vec<Step>, piece: &str) {
    if let Some(Step::Insert(text)) = steps.last_mut() {
        text.push_str(piece);
        return;
    }
    steps.push(Step::Insert(piece.to_owned()));
}
