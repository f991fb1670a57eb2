//! Positions in the history of the platform's store.

use std::fmt;

/// A position in the history of the platform's store.
///
/// The store may come back from an older copy of itself. It then has a new era, in which versions that
/// were given out after the copy was made are given out again. Versions are therefore ordered only
/// within an era, and every revision of a later era comes after all of an earlier one.
///
/// ```
/// use lagoonline::routing::Revision;
/// assert!(Revision { era: 2, version: 38 } > Revision { era: 1, version: 41 });
/// assert!(Revision { era: 2, version: 38 } < Revision { era: 2, version: 41 });
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Era of the store; 0 if it names none.
    pub era: u64,
    /// Version within the era; 0 precedes all rows.
    pub version: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.version)
    }
}
