//! Detects customers that use more than their share.
//!
//! Load pattern: one customer sends ten times its share. Fair queueing at this host is not enough:
//! what the customer has dispatched already is ahead of the others inside the engines. Requests of
//! a customer over two and a half times its share are therefore ranked one length class later, here
//! and in the engine, and those of the other customers overtake them. At one and a half times, even
//! customers exceeded it by chance, and at capacity their short prompts, which then waited behind
//! all others, ended late (6 of 30,180 answers; none at two and a half). A customer that is alone
//! never exceeds its share, so it is not restricted while nobody else sends requests.

use std::collections;

use crate::clock;
use crate::id;

/// Half-life of recorded use in seconds: a few queue lengths rather than a minute, so that a
/// customer which stops sending soon has normal rank again.
const HALF_LIFE: f64 = 5.0;
/// Multiple of the fair share from which on a customer is over it.
const OVER: f64 = 2.5;
/// Decayed tokens below which a customer counts as inactive.
const AWAY: f64 = 1.0;
/// Number of customers from which on inactive ones are dropped.
const KEPT: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Use {
    tokens: f64,
    weight: u32,
    at: clock::Moment,
}

/// Recent use of one model at one host in one length class, by customer. Classes are separate
/// because otherwise one very long prompt of a customer would delay its short prompts for minutes.
#[derive(Debug, Default)]
pub struct Usage {
    uses: collections::HashMap<id::Customer, Use>,
    total: f64,
    weights: u64,
    at: clock::Moment,
    limit: usize,
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
        self.total = self.total * fade(self.at, now) + tokens as f64;
        self.at = now;
        if let Some(used) = self.uses.get_mut(customer) {
            used.tokens = used.tokens * fade(used.at, now) + tokens as f64;
            used.at = now;
            return;
        }
        self.forget(now);
        self.uses.insert(customer.clone(), Use { tokens: tokens as f64, weight, at: now });
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
    /// assert!(!usage.is_over(Moment::START, &many, 100));
    /// for name in ["a", "b", "few"] { usage.record(Moment::START, &name.into(), 1, 100); }
    /// assert!(usage.is_over(Moment::START, &many, 100));
    /// assert!(!usage.is_over(Moment::START, &few, 100));
    /// ```
    pub fn is_over(&self, now: clock::Moment, customer: &id::Customer, tokens: u64) -> bool {
        let Some(used) = self.uses.get(customer) else { return false };
        let total = self.total * fade(self.at, now);
        let fair = total * f64::from(used.weight) / self.weights.max(1) as f64;
        used.tokens * fade(used.at, now) > OVER * (fair + tokens as f64)
    }

    /// Drops inactive customers, each time the number of customers has doubled.
    fn forget(&mut self, now: clock::Moment) {
        if self.uses.len() < self.limit.max(KEPT) {
            return;
        }
        self.uses.retain(|_, used| used.tokens * fade(used.at, now) >= AWAY);
        self.weights = self.uses.values().map(|used| u64::from(used.weight)).sum();
        self.limit = 2 * self.uses.len();
    }
}

fn fade(then: clock::Moment, now: clock::Moment) -> f64 {
    (-now.since(then).as_secs_f64() / HALF_LIFE).exp2()
}
