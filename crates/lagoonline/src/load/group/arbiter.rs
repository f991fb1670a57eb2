//! Grants memory on several engines at once: one arbiter for each zone.
//!
//! Load pattern: several prompts that each need more than one engine's memory at the same time,
//! from several entry hosts, while engines and hosts fail. A grant covers all its engines or does
//! not exist; members are listed in order of their names; requests are granted in order of arrival,
//! so that a large one is not overtaken forever by smaller ones. Every grant expires unless its
//! holder renews it, so the memory of a holder that failed at any step is released. The engines'
//! own reservations, which are made under the grant and expire too, are authoritative: two arbiters
//! at once, in a partitioned zone, cause refusals by engines but never overcommit memory.
//!
//! Steps of one grant: requested, granted (the holder, which is the entry host that requested it,
//! reserves the members one by one at the engines), running (the engines exchange their parts of
//! the cache), released. A member that fails at any step ends the whole grant.

use std::collections;

use crate::clock;
use crate::id;
use crate::load::group;

/// Time after which a grant that is not renewed ends: three renewal intervals of five seconds.
pub const LEASE: clock::Span = clock::Span::from_secs(15);

/// Identifies a request for a group until it is released, refused or expired.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Memory held on one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// The engine.
    pub upstream: id::Upstream,
    /// Tokens of KV cache.
    pub tokens: u64,
}

/// A notification to a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// The request was granted: all members at once, in order of their names.
    Granted(RequestId, Vec<Allocation>),
    /// A member failed or the lease expired: everything held under the grant must be released.
    Ended(RequestId),
    /// The request waited past its deadline.
    TimedOut(RequestId),
    /// No set of engines of this zone can ever hold the request.
    TooLarge(RequestId),
}

/// Memory of one engine for groups, in tokens.
#[derive(Debug)]
struct Engine {
    tokens: u64,
    free: u64,
}

/// A request that has not been granted.
#[derive(Debug)]
struct Waiting {
    request: RequestId,
    tokens: u64,
    deadline: clock::Moment,
}

/// Memory held under one request until the lease expires.
#[derive(Debug)]
struct Grant {
    allocations: Vec<Allocation>,
    expires: clock::Moment,
}

/// The arbiter of one zone.
#[derive(Debug, Default)]
pub struct Arbiter {
    engines: collections::BTreeMap<id::Upstream, Engine>,
    waiting: collections::VecDeque<Waiting>,
    grants: collections::BTreeMap<RequestId, Grant>,
    /// Last number given to a request.
    last_id: u64,
}

impl Arbiter {
    /// Adds an engine with this much memory for groups.
    pub fn add_engine(&mut self, upstream: id::Upstream, tokens: u64) {
        self.engines.entry(upstream).or_insert(Engine { tokens, free: tokens });
    }

    /// Removes an engine that failed or leaves, and ends the grants that include it.
    pub fn remove_engine(&mut self, upstream: &id::Upstream) -> Vec<Notice> {
        self.engines.remove(upstream);
        let includes = |grant: &Grant| {
            grant.allocations.iter().any(|allocation| allocation.upstream == *upstream)
        };
        let ended = self.grants.iter().filter(|(_, grant)| includes(grant));
        let ended: Vec<RequestId> = ended.map(|(request, _)| *request).collect();
        for request in &ended {
            self.release(*request);
        }
        ended.into_iter().map(Notice::Ended).collect()
    }

    /// Requests memory across several engines.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::load::group::arbiter::{Arbiter, Notice};
    /// let mut arbiter = Arbiter::default();
    /// arbiter.add_engine("a".into(), 400);
    /// arbiter.add_engine("b".into(), 400);
    /// let first = arbiter.request(600, Moment::from_millis(1_000));
    /// let second = arbiter.request(600, Moment::from_millis(1_000));
    /// assert!(matches!(&arbiter.poll(Moment::START)[..], [Notice::Granted(request, allocations)]
    ///     if *request == first && allocations.len() == 2));
    /// arbiter.release(first);
    /// assert!(matches!(&arbiter.poll(Moment::START)[..], [Notice::Granted(request, _)]
    ///     if *request == second));
    /// ```
    pub fn request(&mut self, tokens: u64, deadline: clock::Moment) -> RequestId {
        self.last_id += 1;
        let request = RequestId(self.last_id);
        self.waiting.push_back(Waiting { request, tokens, deadline });
        request
    }

    /// Extends a grant. Returns false if the grant has ended and the holder must stop.
    pub fn renew(&mut self, now: clock::Moment, request: RequestId) -> bool {
        let Some(grant) = self.grants.get_mut(&request) else { return false };
        if grant.expires <= now {
            return false;
        }
        grant.expires = now + LEASE;
        true
    }

    /// Releases a request, whether it waits or is granted. Repeated calls have no effect.
    pub fn release(&mut self, request: RequestId) {
        self.waiting.retain(|waiting| waiting.request != request);
        let Some(grant) = self.grants.remove(&request) else { return };
        for allocation in grant.allocations {
            if let Some(engine) = self.engines.get_mut(&allocation.upstream) {
                // The engine may have failed and joined again with all its memory free.
                engine.free = (engine.free + allocation.tokens).min(engine.tokens);
            }
        }
    }

    /// Ends expired grants and requests, then grants requests in order of arrival.
    pub fn poll(&mut self, now: clock::Moment) -> Vec<Notice> {
        let mut notices = self.expire(now);
        while let Some(front) = self.waiting.front() {
            let (request, tokens) = (front.request, front.tokens);
            if tokens > group::capacity(self.engines.values().map(|engine| engine.tokens)) {
                self.waiting.pop_front();
                notices.push(Notice::TooLarge(request));
                continue;
            }
            let Some(allocations) = self.allocate(tokens) else { break };
            self.waiting.pop_front();
            let grant = Grant { allocations: allocations.clone(), expires: now + LEASE };
            self.grants.insert(request, grant);
            notices.push(Notice::Granted(request, allocations));
        }
        notices
    }

    /// When to call [`Arbiter::poll`] next if nothing else happens.
    pub fn next_wake(&self) -> clock::Moment {
        let grants = self.grants.values().map(|grant| grant.expires);
        let waiting = self.waiting.iter().map(|waiting| waiting.deadline);
        grants.chain(waiting).min().unwrap_or(clock::Moment::NEVER)
    }

    /// Memory held, summed over all engines and over all grants on present engines; the two are
    /// equal.
    pub fn held(&self) -> (u64, u64) {
        let engines = self.engines.values().map(|engine| engine.tokens - engine.free).sum();
        let allocations = self.grants.values().flat_map(|grant| &grant.allocations);
        let live = allocations.filter(|allocation| self.engines.contains_key(&allocation.upstream));
        (engines, live.map(|allocation| allocation.tokens).sum())
    }

    fn expire(&mut self, now: clock::Moment) -> Vec<Notice> {
        let expired = self.grants.iter().filter(|(_, grant)| grant.expires <= now);
        let expired: Vec<RequestId> = expired.map(|(request, _)| *request).collect();
        for request in &expired {
            self.release(*request);
        }
        let mut notices: Vec<Notice> = expired.into_iter().map(Notice::Ended).collect();
        let late = self.waiting.iter().filter(|waiting| waiting.deadline <= now);
        notices.extend(late.map(|waiting| Notice::TimedOut(waiting.request)));
        self.waiting.retain(|waiting| waiting.deadline > now);
        notices
    }

    /// Allocates memory on as few engines as can hold it, all or nothing.
    fn allocate(&mut self, tokens: u64) -> Option<Vec<Allocation>> {
        let names: Vec<id::Upstream> = self.engines.keys().cloned().collect();
        let free = |index: usize| self.engines[&names[index]].free;
        let plan = group::plan(tokens, names.len(), free)?;
        let mut allocations = Vec::with_capacity(plan.allocations().len());
        for &(index, tokens) in plan.allocations() {
            let upstream = names[index].clone();
            self.engines.get_mut(&upstream)?.free -= tokens;
            allocations.push(Allocation { upstream, tokens });
        }
        Some(allocations)
    }
}
