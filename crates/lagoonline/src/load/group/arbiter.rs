//! Who may hold memory on several engines at once: one arbiter for each zone.
//!
//! Load pattern: several prompts of more than one engine's memory at the same time, from several
//! entry hosts, while engines and hosts die. A grant names all its engines or there is none; the
//! member list is in the fleet's order; requests are granted in the order they came, so a large one
//! is not passed forever by smaller ones. Every grant expires unless its holder renews it, so a
//! holder that died, at whatever step, gives its memory back. The engines' own reservations, made
//! under the grant and expiring too, stay the last word: two arbiters at once, in a zone that is
//! split, cost refusals by engines and never memory.
//!
//! Steps of one grant: asked, granted (members reserved one by one by the holder), running (spans
//! imported and exported), released. A member that dies at any step ends the grant for all.

use std::collections;

use crate::clock;
use crate::id;
use crate::load::group;

/// Time after which a grant that is not renewed ends: three renewals of five seconds.
pub const LEASE: clock::Span = clock::Span::from_secs(15);

/// Names a request for a group until it is released, refused or expired.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Request(pub u64);

/// Memory held on one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The engine.
    pub upstream: id::Upstream,
    /// Tokens of KV cache.
    pub tokens: u64,
}

/// What the arbiter tells a holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// All members at once, in the fleet's order.
    Granted(Request, Vec<Span>),
    /// A member died or the lease ran out: everything held under it must be released.
    Ended(Request),
    /// It waited past its deadline.
    TimedOut(Request),
    /// No set of engines here can ever hold it.
    TooLarge(Request),
}

#[derive(Debug)]
struct Engine {
    tokens: u64,
    free: u64,
}

#[derive(Debug)]
struct Waiting {
    request: Request,
    tokens: u64,
    deadline: clock::Moment,
}

#[derive(Debug)]
struct Grant {
    spans: Vec<Span>,
    expires: clock::Moment,
}

/// The arbiter of one zone.
#[derive(Debug, Default)]
pub struct Arbiter {
    engines: collections::BTreeMap<id::Upstream, Engine>,
    waiting: collections::VecDeque<Waiting>,
    grants: collections::BTreeMap<Request, Grant>,
    next: u64,
}

impl Arbiter {
    /// An engine joined, with this much memory for groups.
    pub fn join(&mut self, upstream: id::Upstream, tokens: u64) {
        self.engines.entry(upstream).or_insert(Engine { tokens, free: tokens });
    }

    /// An engine died or leaves: ends the grants that it is part of.
    pub fn lose(&mut self, upstream: &id::Upstream) -> Vec<Notice> {
        self.engines.remove(upstream);
        let part = |grant: &Grant| grant.spans.iter().any(|span| span.upstream == *upstream);
        let ended = self.grants.iter().filter(|(_, grant)| part(grant));
        let ended: Vec<Request> = ended.map(|(request, _)| *request).collect();
        for request in &ended {
            self.release(*request);
        }
        ended.into_iter().map(Notice::Ended).collect()
    }

    /// Asks for memory over several engines.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::load::group::arbiter::{Arbiter, Notice};
    /// let mut arbiter = Arbiter::default();
    /// arbiter.join("a".into(), 400);
    /// arbiter.join("b".into(), 400);
    /// let first = arbiter.ask(600, Moment::from_millis(1_000));
    /// let second = arbiter.ask(600, Moment::from_millis(1_000));
    /// assert!(matches!(&arbiter.poll(Moment::START)[..], [Notice::Granted(request, spans)]
    ///     if *request == first && spans.len() == 2));
    /// arbiter.release(first);
    /// assert!(matches!(&arbiter.poll(Moment::START)[..], [Notice::Granted(request, _)]
    ///     if *request == second));
    /// ```
    pub fn ask(&mut self, tokens: u64, deadline: clock::Moment) -> Request {
        self.next += 1;
        let request = Request(self.next);
        self.waiting.push_back(Waiting { request, tokens, deadline });
        request
    }

    /// The holder still works on it: false when the grant has ended, so that the holder stops.
    pub fn renew(&mut self, now: clock::Moment, request: Request) -> bool {
        let Some(grant) = self.grants.get_mut(&request) else { return false };
        if grant.expires <= now {
            return false;
        }
        grant.expires = now + LEASE;
        true
    }

    /// The holder is done or gave up, waiting or granted. Repeating it has no further effect.
    pub fn release(&mut self, request: Request) {
        self.waiting.retain(|waiting| waiting.request != request);
        let Some(grant) = self.grants.remove(&request) else { return };
        for span in grant.spans {
            if let Some(engine) = self.engines.get_mut(&span.upstream) {
                // An engine that died and joined again started empty.
                engine.free = (engine.free + span.tokens).min(engine.tokens);
            }
        }
    }

    /// Ends what has expired, then grants in order of asking.
    pub fn poll(&mut self, now: clock::Moment) -> Vec<Notice> {
        let mut notices = self.expire(now);
        while let Some(front) = self.waiting.front() {
            let (request, tokens) = (front.request, front.tokens);
            if tokens > group::reach(self.engines.values().map(|engine| engine.tokens)) {
                self.waiting.pop_front();
                notices.push(Notice::TooLarge(request));
                continue;
            }
            let Some(spans) = self.take(tokens) else { break };
            self.waiting.pop_front();
            let grant = Grant { spans: spans.clone(), expires: now + LEASE };
            self.grants.insert(request, grant);
            notices.push(Notice::Granted(request, spans));
        }
        notices
    }

    /// When to poll next if nothing else happens.
    pub fn next_wake(&self) -> clock::Moment {
        let grants = self.grants.values().map(|grant| grant.expires);
        let waiting = self.waiting.iter().map(|waiting| waiting.deadline);
        grants.chain(waiting).min().unwrap_or(clock::Moment::NEVER)
    }

    /// Memory held, over all engines and by all grants on engines that live; the two are equal.
    pub fn held(&self) -> (u64, u64) {
        let engines = self.engines.values().map(|engine| engine.tokens - engine.free).sum();
        let spans = self.grants.values().flat_map(|grant| &grant.spans);
        let live = spans.filter(|span| self.engines.contains_key(&span.upstream));
        (engines, live.map(|span| span.tokens).sum())
    }

    fn expire(&mut self, now: clock::Moment) -> Vec<Notice> {
        let expired = self.grants.iter().filter(|(_, grant)| grant.expires <= now);
        let expired: Vec<Request> = expired.map(|(request, _)| *request).collect();
        for request in &expired {
            self.release(*request);
        }
        let mut notices: Vec<Notice> = expired.into_iter().map(Notice::Ended).collect();
        let late = self.waiting.iter().filter(|waiting| waiting.deadline <= now);
        notices.extend(late.map(|waiting| Notice::TimedOut(waiting.request)));
        self.waiting.retain(|waiting| waiting.deadline > now);
        notices
    }

    /// Takes memory on as few engines as hold it, all or nothing.
    fn take(&mut self, tokens: u64) -> Option<Vec<Span>> {
        let names: Vec<id::Upstream> = self.engines.keys().cloned().collect();
        let free = |index: usize| self.engines[&names[index]].free;
        let plan = group::plan(tokens, names.len(), free)?;
        let mut spans = Vec::with_capacity(plan.spans().len());
        for &(index, tokens) in plan.spans() {
            let upstream = names[index].clone();
            self.engines.get_mut(&upstream)?.free -= tokens;
            spans.push(Span { upstream, tokens });
        }
        Some(spans)
    }
}
