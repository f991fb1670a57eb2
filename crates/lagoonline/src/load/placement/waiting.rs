//! Prompts that wait at one host until engines have less to read.

use std::collections;

/// The prompts that wait, in the order in which they came.
///
/// ```
/// let mut waiting = lagoonline::load::placement::Waiting::default();
/// let first = waiting.join(400.0);
/// let second = waiting.join(900.0);
/// assert_eq!(waiting.ahead_ms(Some(second), 900.0), 400.0);
/// assert_eq!(waiting.ahead_ms(None, 500.0), 400.0);
/// waiting.leave(first);
/// assert_eq!(waiting.ahead_ms(None, 500.0), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    /// Milliseconds that one engine would read each.
    read_ms: collections::BTreeMap<u64, f64>,
    next: u64,
}

impl Waiting {
    /// A prompt that one engine would read in `read_ms` begins to wait; its number in the order.
    pub fn join(&mut self, read_ms: f64) -> u64 {
        let number = self.next;
        self.next += 1;
        self.read_ms.insert(number, read_ms);
        number
    }

    /// The prompt `number` waits no more.
    pub fn leave(&mut self, number: u64) {
        self.read_ms.remove(&number);
    }

    /// Milliseconds that one engine would read what goes before a prompt that it would read in
    /// `read_ms`: what came before `number`, or before a newcomer all that waits, and is not larger.
    /// Smaller prompts pass larger ones.
    pub fn ahead_ms(&self, number: Option<u64>, read_ms: f64) -> f64 {
        let before = self.read_ms.range(..number.unwrap_or(self.next)).map(|(_, other)| *other);
        before.filter(|other| *other <= read_ms).sum()
    }
}
