//! Dispatch of a request from a host to an engine or a group of engines.
//!
//! A prompt that exceeds the memory of one engine is placed on a group: the first engine prefills
//! the prompt and generates the answer, and the other members hold parts of its KV memory.

use lagoonline::clock;
use lagoonline::load;

use super::{CONNECT_TIMEOUT, Event, Simulation};
use crate::bench::engine;

impl Simulation<'_> {
    /// Dispatches the next attempt of a request as placed by the host's scheduler.
    pub(super) fn dispatch(&mut self, index: usize, placement: &load::Placement) {
        let arrival = &self.arrivals[index];
        let engine = self.engine_indices[&placement.upstream];
        let need = arrival.prompt_tokens + arrival.answer_tokens;
        let reservations = self.split_reservation(engine, placement, need);
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.ticket = Some(placement.ticket);
        request.engine = engine;
        request.incarnations =
            reservations.iter().map(|(engine, _)| self.engines[*engine].incarnation).collect();
        request.reservations = reservations;
        let attempt = request.attempts;
        self.tally.attempts += 1;
        self.tally.believed += placement.cached_tokens;
        let ending = self.start_attempt(index, engine, placement.priority);
        if let Err((delay, ending)) = ending {
            self.requests[index].reservations.clear();
            self.schedule(
                self.now + delay,
                Event::AttemptFailure { request: index, attempt, ending },
            );
        }
        self.start_step(engine);
    }

    /// Returns the KV tokens to reserve on each engine of the placement: each engine in turn takes
    /// as much of the remaining need as is free on it. This uses the actual free memory of the
    /// engines, not the reported one.
    pub(super) fn split_reservation(
        &self,
        engine: usize,
        placement: &load::Placement,
        need: u64,
    ) -> Vec<(usize, u64)> {
        if placement.members.is_empty() {
            return vec![(engine, need)];
        }
        let mut remaining = need;
        let names = std::iter::once(&placement.upstream).chain(&placement.members);
        let engines = names.map(|name| self.engine_indices[name]);
        let reserve = |engine: usize| {
            let share =
                (self.engines[engine].kv_tokens - self.engines[engine].kv_used).min(remaining);
            remaining -= share;
            (engine, share)
        };
        engines.map(reserve).collect()
    }

    /// Hands an attempt to its engine and reserves memory on the other members of its group.
    ///
    /// # Errors
    ///
    /// The delay after which the host learns that the attempt failed or was rejected, and how.
    pub(super) fn start_attempt(
        &mut self,
        index: usize,
        engine: usize,
        priority: u8,
    ) -> Result<(), (clock::Span, load::Ending)> {
        let request = &self.requests[index];
        let (reservations, attempt) = (request.reservations.clone(), request.attempts);
        let host_zone = request.host as u32 / self.scenario.hosts;
        let is_reachable = |engine: &usize| {
            let zone = *engine as u32 / self.scenario.engines;
            let last = self.scenario.zones - 1;
            self.engines[*engine].alive
                && !(self.partitioned && (zone == last) != (host_zone == last))
        };
        if !reservations.iter().all(|(engine, _)| is_reachable(engine)) {
            return Err((CONNECT_TIMEOUT, load::Ending::Failed));
        }
        let full = (clock::Span::from_millis(1), load::Ending::Full);
        let reserved: u64 = reservations.iter().map(|(_, kv)| kv).sum();
        let arrival = &self.arrivals[index];
        if reserved < arrival.prompt_tokens + arrival.answer_tokens {
            return Err(full);
        }
        let fits = |(engine, kv): &(usize, u64)| {
            self.engines[*engine].kv_used + kv <= self.engines[*engine].kv_tokens
        };
        if reservations.len() > 1 && !reservations.iter().all(fits) {
            return Err(full);
        }
        let cached = self.engines[engine].use_cached(&arrival.prefixes);
        self.sequence += 1;
        let prefill_left = (arrival.prompt_tokens - cached).max(1);
        let (kv, sequence) = (reservations[0].1, self.sequence);
        let job = engine::Job { request: index, attempt, priority, sequence, prefill_left, kv };
        if !self.engines[engine].accept(job) {
            return Err(full);
        }
        self.requests[index].cached_tokens = cached;
        self.tally.prefilled += prefill_left;
        self.tally.cached += cached;
        for (member, kv) in &reservations[1..] {
            self.engines[*member].reserve(*kv);
        }
        Ok(())
    }
}
