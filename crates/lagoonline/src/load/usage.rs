//! Detects customers that use more than their share.
//!
//! Load pattern: one customer sends ten times its share. Fair queueing at this host is not enough:
//! what the customer has dispatched already is ahead of the others inside the engines. Requests of
//! a customer over two and a half times its share are therefore ranked one length class later, here
//! and in the engine, and those of the other customers overtake them. At one and a half times,
//! customers with equal load exceeded it by chance, and at capacity their short prompts, which then
//! waited behind all others, ended late (6 of 30,180 answers; none at two and a half). A customer
//! that is alone never exceeds its share, so it is not restricted while nobody else sends requests.

use std::collections;

use crate::clock;
use crate::id;

/// Half-life of recorded use in seconds: a few times the usual wait in the queue rather than a
/// minute, so that a customer which stops sending soon has normal rank again.
const HALF_LIFE_SECONDS: f64 = 5.0;
/// Multiple of the fair share from which on a customer is over it.
const OVER_FACTOR: f64 = 2.5;
/// Decayed tokens below which a customer counts as inactive.
const INACTIVE_TOKENS: f64 = 1.0;
/// Number of customers from which on inactive ones are dropped.
const MIN_CLEANUP_SIZE: usize = 64;

/// Recent use of one customer.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: f64,
    weight: u32,
    /// Time up to which `tokens` has decayed.
    at: clock::Moment,
}

/// Recent use of one model at one host in one length class, by customer. Classes are separate
/// because otherwise one very long prompt of a customer would delay its short prompts for minutes.
#[derive(Debug, Default)]
pub struct Usage {
    entries: collections::HashMap<id::Customer, Entry>,
    /// Decayed tokens of all customers, as of `at`.
    total: f64,
    /// Sum of the weights of `entries`.
    weights: u64,
    at: clock::Moment,
    /// Number of entries from which on inactive ones are dropped next.
    cleanup_size: usize,
}

impl Usage {
    /// Records that a customer requested work of `tokens` tokens.
    pub fn record(
        &mut self,
        now: clock::Moment,
        customer: &id::Customer,
        weight: u32,
        tokens: u64,
    ) {
        self.total = self.total * decay(self.at, now) + tokens as f64;
        self.at = now;
        if let Some(entry) = self.entries.get_mut(customer) {
            entry.tokens = entry.tokens * decay(entry.at, now) + tokens as f64;
            entry.at = now;
            return;
        }
        self.drop_inactive(now);
        self.entries.insert(customer.clone(), Entry { tokens: tokens as f64, weight, at: now });
        self.weights += u64::from(weight);
    }

    /// Whether the customer's use exceeds two and a half times the sum of its fair share and the
    /// request of `tokens` tokens; the latter keeps one or two requests from counting as overuse.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, id::Customer, load::usage::Usage};
    /// let (few, many) = (Customer::from("few"), Customer::from("many"));
    /// let mut usage = Usage::default();
    /// usage.record(Moment::START, &many, 1, 1_900);
    /// assert!(!usage.is_over_share(Moment::START, &many, 100));
    /// for name in ["a", "b", "few"] { usage.record(Moment::START, &name.into(), 1, 100); }
    /// assert!(usage.is_over_share(Moment::START, &many, 100));
    /// assert!(!usage.is_over_share(Moment::START, &few, 100));
    /// ```
    pub fn is_over_share(&self, now: clock::Moment, customer: &id::Customer, tokens: u64) -> bool {
        let Some(entry) = self.entries.get(customer) else { return false };
        let total = self.total * decay(self.at, now);
        let fair = total * f64::from(entry.weight) / self.weights.max(1) as f64;
        entry.tokens * decay(entry.at, now) > OVER_FACTOR * (fair + tokens as f64)
    }

    /// Drops inactive customers, each time the number of customers has doubled.
    fn drop_inactive(&mut self, now: clock::Moment) {
        if self.entries.len() < self.cleanup_size.max(MIN_CLEANUP_SIZE) {
            return;
        }
        self.entries.retain(|_, entry| entry.tokens * decay(entry.at, now) >= INACTIVE_TOKENS);
        self.weights = self.entries.values().map(|entry| u64::from(entry.weight)).sum();
        self.cleanup_size = 2 * self.entries.len();
    }
}

fn decay(from: clock::Moment, now: clock::Moment) -> f64 {
    (-now.since(from).as_secs_f64() / HALF_LIFE_SECONDS).exp2()
}
