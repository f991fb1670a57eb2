//! Events of a simulation in the order of their times.

use std::cmp;
use std::collections;

/// Events to come. Those of the same time come in the order in which they were added.
#[derive(Debug)]
pub(crate) struct Timeline<Event> {
    events: collections::BinaryHeap<Timed<Event>>,
    added: u64,
}

/// An event and its time; the earliest is the greatest.
#[derive(Debug)]
struct Timed<Event> {
    at: u64,
    order: u64,
    event: Event,
}

impl<Event> PartialEq for Timed<Event> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<Event> Eq for Timed<Event> {}

impl<Event> PartialOrd for Timed<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Timed<Event> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl<Event> Default for Timeline<Event> {
    fn default() -> Self {
        Timeline { events: collections::BinaryHeap::new(), added: 0 }
    }
}

impl<Event> Timeline<Event> {
    /// Adds an event at `at`.
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.added += 1;
        self.events.push(Timed { at, order: self.added, event });
    }

    /// Removes and returns the next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        self.events.pop().map(|timed| (timed.at, timed.event))
    }
}
