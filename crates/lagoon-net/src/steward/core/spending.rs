//! What customers use: counted here for the ledger, and told to the other hosts of the zone only
//! of customers who may be near their limits.
//!
//! Load pattern: 26,000 customers, 100 requests a second in a zone. Telling every host of every
//! request costs more than a node's whole budget, and nearly all of it is of customers far below
//! their limits, for whom nothing is decided. A customer matters once it uses more than half of
//! this host's even part of its limit here; while it does so nowhere, it is below half of its limit
//! in the whole zone, if its requests come evenly or not.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::document;
use lagoonline::id;
use prost::Message;

use super::{Core, LinkId};
use crate::wire;

/// Time over which use is looked at.
const WINDOW: clock::Span = clock::Span::from_millis(WINDOW_MS);
const WINDOW_MS: u64 = 2_000;

/// A customer matters above the even part of its limit divided by this.
const NEAR_DIVISOR: f64 = 2.0;

/// Customers told of at once; those who used the most come first.
const MAX_LINES: usize = 2;

/// Messages that wait to be passed on: more are dropped, the oldest first, as their limits are
/// then enforced by each host's own part.
const MAX_PENDING: usize = 64;

/// Age at which what a customer used no longer says whom engines work for.
const RECENT_FOR: clock::Span = clock::Span::from_secs(10);

/// Use by customers, as one steward knows it.
#[derive(Default)]
pub(super) struct Spending {
    /// Tokens used lately in this zone, for the ledger.
    recent_tokens: collections::HashMap<id::Customer, (u64, clock::Moment)>,
    /// Requests and tokens let in by the own entry process in this window.
    own_window: collections::BTreeMap<id::Customer, (u64, u64)>,
    window_started: clock::Moment,
    /// Starts from the steward's life, a time in microseconds, so that it also grows over restarts.
    ///
    /// Failure answered: a steward starts anew at 1, and its messages have to be told from late
    /// copies of its old ones. Symptom: taken by their distance, two copies far apart chase each
    /// other round the ring, each counted as use, and customers below their limits are refused.
    /// Growing over restarts, one order is enough.
    sequence: u64,
    /// Sequence of each host's last message.
    last_sequences: collections::HashMap<String, u64>,
    pending: collections::VecDeque<(wire::Spending, id::Host)>,
}

impl Spending {
    /// Nothing used yet, in this life of the steward.
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Spending { sequence: incarnation.0, ..Spending::default() }
    }

    /// The next message to be passed on, and who sent it, if it is no longer than `room` bytes.
    /// One that is longer than any room goes alone.
    pub(super) fn pop(&mut self, room: usize) -> Option<(wire::Spending, id::Host)> {
        let (first, _) = self.pending.front()?;
        if room == 0 || (first.encoded_len() > room && room < super::payload::SPENDING_BYTES) {
            return None;
        }
        self.pending.pop_front()
    }

    fn relay(&mut self, spending: wire::Spending, from: id::Host) {
        self.pending.push_back((spending, from));
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    fn record(&mut self, lines: &[wire::Spend], now: clock::Moment) {
        self.recent_tokens.retain(|_, (_, since)| now.since(*since) < RECENT_FOR);
        for line in lines {
            let customer = id::Customer::from(line.customer.as_str());
            let sum = self.recent_tokens.entry(customer).or_insert((0, now));
            *sum = (sum.0 / 2 + line.tokens, now);
        }
    }
}

impl Core {
    /// Shares of customers in the work of the zone's engines, by the tokens they used recent_tokens: what
    /// an engine reports names no customers.
    pub(in crate::steward) fn shares(&self) -> Vec<(id::Customer, id::Team, u64)> {
        let share = |(name, (tokens, _)): (&id::Customer, &(u64, clock::Moment))| {
            let (team, _) = self.customer(name)?;
            Some((name.clone(), team.clone(), *tokens))
        };
        let mut shares: Vec<_> = self.spending.recent_tokens.iter().filter_map(share).collect();
        shares.sort();
        shares
    }

    fn customer(&self, name: &id::Customer) -> Option<(&id::Team, &document::Customer)> {
        let mut sections = self.replica.sections();
        sections.find_map(|section| Some((&section.team, section.body.customers.get(name)?)))
    }

    /// Takes what the own entry process let in.
    pub(super) fn handle_own_spending(&mut self, spending: &wire::Spending, from: LinkId) {
        if self.links.get(&from).is_none_or(|link| link.peer.role != wire::Role::Entry) {
            return;
        }
        self.spending.record(&spending.lines, self.clock.now());
        for line in &spending.lines {
            let customer = id::Customer::from(line.customer.as_str());
            let sum = self.spending.own_window.entry(customer).or_default();
            *sum = (sum.0 + line.requests, sum.1 + line.tokens);
        }
    }

    /// Takes what another host's entry process let in, by way of `from`.
    pub(in crate::steward) fn handle_spending(
        &mut self,
        from: &id::Host,
        spending: wire::Spending,
    ) {
        let last = self.spending.last_sequences.entry(spending.host.clone()).or_default();
        if spending.sequence <= *last || spending.host == self.group.own().host.as_str() {
            return;
        }
        *last = spending.sequence;
        self.spending.record(&spending.lines, self.clock.now());
        let body = wire::Body::Spending(spending.clone());
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        self.spending.relay(spending, from.clone());
    }

    /// Ends the window, and says to the entry process that the other hosts are in touch.
    ///
    /// Failure answered: hosts without news of others hold customers to an even part of their
    /// limits. Symptom: with nobody near a limit there is no news, and all are held so. An empty
    /// message says that there would be news.
    pub(in crate::steward) fn flush_spending(&mut self) {
        let (now, host) = (self.clock.now(), self.group.own().host.to_string());
        if self.has_zone_peer() {
            let quiet = wire::Spending { host: host.clone(), ..wire::Spending::default() };
            let body = wire::Body::Spending(quiet);
            self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        }
        if now.since(self.spending.window_started) < WINDOW {
            return;
        }
        let seconds = now.since(self.spending.window_started).as_secs_f64();
        self.spending.window_started = now;
        let lines = self.near_limits(seconds);
        if lines.is_empty() {
            return;
        }
        self.spending.sequence += 1;
        let (span_ms, sequence) = (WINDOW_MS, self.spending.sequence);
        let spending = wire::Spending { host, span_ms, lines, sequence };
        let own = self.group.own().host.clone();
        self.spending.relay(spending, own);
    }

    /// Whether a link with another host of the zone is open, or there is no other host.
    fn has_zone_peer(&self) -> bool {
        !self.zone_links().is_empty() || self.group.live_in(self.zone()).count() <= 1
    }

    /// What the own entry process let in of customers who may be near their limits.
    fn near_limits(&mut self, seconds: f64) -> Vec<wire::Spend> {
        let hosts = self.group.live_in(self.zone()).count().max(1) as f64;
        let own = std::mem::take(&mut self.spending.own_window);
        let mut lines = Vec::new();
        for (name, (requests, tokens)) in own {
            let Some((_, known)) = self.customer(&name) else { continue };
            let part = seconds / hosts / NEAR_DIVISOR;
            let by_requests = requests as f64 / (known.requests_per_second * part);
            let by_tokens = tokens as f64 / (known.tokens_per_second * part);
            let nearness = by_requests.max(by_tokens);
            if nearness >= 1.0 {
                let line = wire::Spend { customer: name.to_string(), requests, tokens };
                lines.push((nearness, line));
            }
        }
        lines.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        lines.truncate(MAX_LINES);
        lines.into_iter().map(|(_, line)| line).collect()
    }
}
