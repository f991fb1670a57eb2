//! From a host to an engine.

use lagoonline::clock;
use lagoonline::load;

use super::{Event, TIMEOUT, World};
use crate::bench::engine;

impl World<'_> {
    pub(super) fn send(&mut self, index: usize, placement: &load::Placement) {
        let arrival = &self.arrivals[index];
        let engine = self.names[&placement.upstream];
        let need = arrival.tokens + arrival.answer;
        let spans = self.spans(engine, placement, need);
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.ticket = Some(placement.ticket);
        request.engine = engine;
        request.lives = spans.iter().map(|(part, _)| self.engines[*part].incarnation).collect();
        request.parts = spans;
        let attempt = request.attempts;
        self.tally.attempts += 1;
        let ending = self.reach(index, engine, placement.priority);
        if let Err((delay, ending)) = ending {
            self.requests[index].parts.clear();
            self.at(self.now + delay, Event::Lost { request: index, attempt, ending });
        }
        self.start(engine);
    }

    /// Memory on each engine: as much as it can hold, in the order of the placement.
    pub(super) fn spans(
        &self,
        engine: usize,
        placement: &load::Placement,
        need: u64,
    ) -> Vec<(usize, u64)> {
        if placement.members.is_empty() {
            return vec![(engine, need)];
        }
        let mut left = need;
        let names = std::iter::once(&placement.upstream).chain(&placement.members);
        let engines = names.map(|name| self.names[name]);
        let span = |engine: usize| {
            let span = (self.engines[engine].kv - self.engines[engine].kv_used).min(left);
            left -= span;
            (engine, span)
        };
        engines.map(span).collect()
    }

    pub(super) fn reach(
        &mut self,
        index: usize,
        engine: usize,
        priority: u8,
    ) -> Result<(), (clock::Span, load::Ending)> {
        let request = &self.requests[index];
        let (parts, attempt) = (request.parts.clone(), request.attempts);
        let host_zone = request.host as u32 / self.scenario.hosts;
        let reachable = |engine: &usize| {
            let zone = *engine as u32 / self.scenario.engines;
            let last = self.scenario.zones - 1;
            self.engines[*engine].alive && !(self.cut && (zone == last) != (host_zone == last))
        };
        if !parts.iter().all(|(engine, _)| reachable(engine)) {
            return Err((TIMEOUT, load::Ending::Failed));
        }
        let full = (clock::Span::from_millis(1), load::Ending::Full);
        let held: u64 = parts.iter().map(|(_, kv)| kv).sum();
        let arrival = &self.arrivals[index];
        if held < arrival.tokens + arrival.answer {
            return Err(full);
        }
        let fits = |(engine, kv): &(usize, u64)| {
            self.engines[*engine].kv_used + kv <= self.engines[*engine].kv
        };
        if parts.len() > 1 && !parts.iter().all(fits) {
            return Err(full);
        }
        let cached = self.engines[engine].cached_tokens(&arrival.prefixes);
        self.sequence += 1;
        let left = (arrival.tokens - cached).max(1);
        let (kv, sequence) = (parts[0].1, self.sequence);
        let job = engine::Job { request: index, attempt, priority, sequence, left, kv };
        if !self.engines[engine].accept(job) {
            return Err(full);
        }
        self.tally.prefilled += left;
        self.tally.cached += cached;
        for (member, kv) in &parts[1..] {
            self.engines[*member].reserve(*kv);
        }
        Ok(())
    }
}
