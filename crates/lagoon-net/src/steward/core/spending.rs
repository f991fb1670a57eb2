//! Spending of customers: the requests and tokens that entry processes admit for them. It is
//! counted for the ledger, and sent to the other hosts of the zone only for customers that may be
//! near their rate limits.
//!
//! Load pattern: 26,000 customers, 100 requests a second in a zone. Sending every request to every
//! host exceeds a host's whole budget for control traffic, and nearly all of it concerns customers
//! far below their limits, for whom no decision depends on it. A customer is reported once it uses
//! more than half of this host's equal share of its limit. While no host reports it, it uses less
//! than half of its limit in the whole zone, however its requests are spread over hosts.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::document;
use lagoonline::id;
use prost::Message;

use super::{Core, LinkId};
use crate::wire;

/// Time over which spending is summed before it is compared with limits.
const WINDOW: clock::Span = clock::Span::from_millis(WINDOW_MS);
const WINDOW_MS: u64 = 2_000;

/// A customer is reported above this host's equal share of its limit divided by this.
const NEAR_DIVISOR: f64 = 2.0;

/// Customers in one message; those nearest to their limits come first.
const MAX_LINES: usize = 2;

/// Messages queued for heartbeats. Beyond it the oldest are dropped; each host then enforces its
/// equal share of the customers' limits.
const MAX_PENDING: usize = 64;

/// Age at which spending no longer counts when engine time is attributed to customers.
const RECENT_FOR: clock::Span = clock::Span::from_secs(10);

/// Spending of customers, as one steward knows it.
#[derive(Default)]
pub(super) struct State {
    /// Tokens spent recently in this zone, for the ledger, and the time of the last addition. The
    /// sum is halved before each addition, so that older reports count less; it decays with each
    /// report and not with time.
    recent_tokens: collections::HashMap<id::Customer, (u64, clock::Moment)>,
    /// Requests and tokens admitted by the own entry process in this window.
    own_window: collections::BTreeMap<id::Customer, (u64, u64)>,
    window_started: clock::Moment,
    /// Sequence number of the last message sent. It starts from the steward's incarnation, a time
    /// in microseconds, so that it also grows across restarts, and receivers need only compare it
    /// with the last one.
    ///
    /// Prevents this failure: if a restarted steward began at 1, receivers would have to tell its
    /// messages from delayed old ones by the distance of their numbers. Symptom: of two copies far
    /// apart each looks newer than the other, so both circulate between hosts and are counted each
    /// time, and customers below their limits are refused.
    sequence: u64,
    /// Sequence number of each host's last message.
    last_sequences: collections::HashMap<String, u64>,
    pending: collections::VecDeque<(wire::Spending, id::Host)>,
}

impl State {
    /// Creates an empty record for this incarnation of the steward.
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        State { sequence: incarnation.0, ..State::default() }
    }

    /// Takes the next message to be relayed and its sender, if it fits in `room` bytes. A message
    /// larger than [`super::payload::SPENDING_BYTES`] is taken when the whole share is free.
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
    /// Returns the shares of customers in the work of the zone's engines, by the tokens they used
    /// recently; engines do not report which customers they work for.
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

    /// Records the spending that the own entry process admitted.
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

    /// Records and relays the spending admitted by another host, received from `from`.
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

    /// Closes the window. Sends the entry process an empty message unless this host is cut off from
    /// its zone.
    ///
    /// Prevents this failure: an entry host that receives no spending of others limits customers to
    /// its equal share. Symptom: when no customer is near a limit no spending is sent, and all
    /// customers are limited that way. The empty message shows that spending would arrive if there
    /// were any.
    pub(in crate::steward) fn flush_spending(&mut self) {
        let (now, host) = (self.clock.now(), self.group.own().host.to_string());
        if self.is_connected_to_zone() {
            let empty = wire::Spending { host: host.clone(), ..wire::Spending::default() };
            let body = wire::Body::Spending(empty);
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

    /// Whether a link to another steward of the zone is open, or this is the only live one.
    fn is_connected_to_zone(&self) -> bool {
        !self.zone_links().is_empty() || self.group.live_in(self.zone()).count() <= 1
    }

    /// Empties the window and returns the customers in it that may be near their limits.
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
