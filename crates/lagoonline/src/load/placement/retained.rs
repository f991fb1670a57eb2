//! Prompt prefixes that engines retain after a request.
//!
//! Load pattern: prompts that share prefixes, on engines that keep prefixes in the memory that
//! requests leave free. What is believed, and when a belief ends, is in [`crate::load::prefix`].
//! It is off unless [`Settings::retained`] is set, since an engine that drops a prompt's memory with
//! its answer saves nothing; then no decision changes.
//!
//! The saving is a part of the cost in milliseconds by which engines are ordered, so it decides only
//! among those that a plan may use. It is at most the cost of making one answer late: a hit attracts
//! a prompt to a longer queue, but not to an engine where another request would pay for it.

use std::collections;

use super::{DispatchId, Placer, Request, Settings, UpstreamState};
use crate::clock;
use crate::id;
use crate::load::{prefix, profile};

/// Prefixes of one prompt that are recorded: shared ones are at its start.
const MAX_PROMPT_PREFIXES: usize = 64;

/// The cache of one engine.
#[derive(Clone, Copy, Debug)]
struct Engine {
    number: u32,
    started_ms: u64,
    memory: prefix::Memory,
}

/// The prompt of a dispatch of this host.
#[derive(Clone, Debug)]
struct Prompt {
    prefixes: Vec<(u64, u64)>,
    hit: prefix::Hit,
}

/// What is known of the prefixes on the engines of a service that retains them.
#[derive(Clone, Debug)]
pub(super) struct Retained {
    settings: prefix::Settings,
    map: prefix::Map,
    engines: collections::BTreeMap<id::Upstream, Engine>,
    last_number: u32,
    prompts: collections::HashMap<DispatchId, Prompt>,
}

impl Retained {
    /// Nothing known; `None` if the service does not retain prefixes.
    pub(super) fn new(settings: &Settings) -> Option<Retained> {
        settings.retained.map(|settings| Retained {
            settings,
            map: prefix::Map::new(settings.max_prefixes),
            engines: collections::BTreeMap::new(),
            last_number: 0,
            prompts: collections::HashMap::new(),
        })
    }

    fn update_engine(&mut self, state: &UpstreamState) {
        let entry = state.entry();
        if let Some(engine) = self.engines.get_mut(&entry.upstream) {
            if engine.started_ms != entry.started_ms {
                engine.memory.restart();
                engine.started_ms = entry.started_ms;
            }
            return;
        }
        self.last_number += 1;
        let (number, started_ms) = (self.last_number, entry.started_ms);
        let engine = Engine { number, started_ms, memory: prefix::Memory::default() };
        self.engines.insert(entry.upstream.clone(), engine);
    }

    /// What the engine has cached of a prompt with these prefixes.
    fn hit(
        &self,
        state: &UpstreamState,
        prefixes: &[(u64, u64)],
        now: clock::Moment,
    ) -> prefix::Hit {
        let Some(engine) = self.engines.get(&state.entry().upstream) else {
            return prefix::Hit::default();
        };
        let room = state.free_memory(1.0);
        let holds = |location: &prefix::Location| {
            location.engine == engine.number
                && engine.memory.holds(location, room, &self.settings, now)
        };
        let recorded = &prefixes[..prefixes.len().min(MAX_PROMPT_PREFIXES)];
        prefix::Hits::find(&self.map, recorded, holds).on(engine.number)
    }
}

impl Placer {
    /// Matches the known caches with the present upstreams, and drops prompts whose dispatch is no
    /// longer tracked.
    pub(super) fn update_retained(&mut self) {
        let Some(retained) = &mut self.retained else { return };
        let upstreams = &self.upstreams;
        retained.engines.retain(|name, _| upstreams.contains_key(name));
        upstreams.values().for_each(|state| retained.update_engine(state));
        retained.prompts.retain(|id, _| self.dispatches.contains_key(id));
    }

    /// Prefill time in milliseconds that the cached prefix of each of `usable` saves; empty if none
    /// saves any. A failing engine saves nothing, since it may have lost its memory.
    pub(super) fn savings_ms(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        profile: profile::Profile,
        now: clock::Moment,
    ) -> Vec<f64> {
        let Some(retained) = &self.retained else { return Vec::new() };
        if request.prefixes.is_empty() {
            return Vec::new();
        }
        let saving = |state: &&UpstreamState| {
            if state.failure_rate(now) > super::FAILING_RATE {
                return 0.0;
            }
            let cached = retained.hit(state, request.prefixes, now).tokens;
            profile.saving_ms(request.prompt_tokens, cached)
        };
        usable.iter().map(saving).collect()
    }

    /// The part of a saving that counts when engines are compared, for a prompt that `parts`
    /// engines prefill.
    pub(super) fn comparable_saving_ms(
        &self,
        request: &Request<'_>,
        saving_ms: f64,
        parts: usize,
    ) -> f64 {
        let worth_ms = request.target.as_secs_f64() * 1e3 * self.settings.lateness_cost_share;
        (saving_ms / parts.max(1) as f64).min(worth_ms)
    }

    /// Records the prefixes of the prompt of a dispatch, as hashes with lengths in tokens, shortest
    /// first. They count as cached on its primary from its first token on.
    pub fn record_prefixes(&mut self, id: DispatchId, prefixes: &[(u64, u64)], now: clock::Moment) {
        let Some(retained) = &mut self.retained else { return };
        let Some(tracked) = self.dispatches.get(&id) else { return };
        let Some(state) = self.upstreams.get(&tracked.dispatch.primary) else { return };
        let hit = retained.hit(state, prefixes, now);
        let prefixes = prefixes[..prefixes.len().min(MAX_PROMPT_PREFIXES)].to_vec();
        retained.prompts.insert(id, Prompt { prefixes, hit });
    }

    /// Records that the prompt of a dispatch of any host has been prefilled, and is in the memory
    /// of its primary.
    pub(super) fn retain_prompt(&mut self, id: DispatchId, now: clock::Moment) {
        let Some(retained) = &mut self.retained else { return };
        let Some(tracked) = self.dispatches.get(&id) else { return };
        let Some(engine) = retained.engines.get_mut(&tracked.dispatch.primary) else { return };
        let tokens = tracked.dispatch.prompt_tokens;
        let Some(prompt) = retained.prompts.get(&id) else {
            engine.memory.place(tokens);
            return;
        };
        let new_tokens = tokens.saturating_sub(prompt.hit.tokens);
        let location = engine.memory.record_use(engine.number, new_tokens, now);
        retained.map.insert_all(&prompt.prefixes, location);
    }

    /// Records how many prompt tokens of a dispatch the engine found cached, as its answer says.
    pub fn record_cached(&mut self, id: DispatchId, cached_tokens: u64) {
        let Some(retained) = &mut self.retained else { return };
        let Some(tracked) = self.dispatches.get(&id) else { return };
        let Some(prompt) = retained.prompts.get(&id) else { return };
        let Some(engine) = retained.engines.get_mut(&tracked.dispatch.primary) else { return };
        let tokens = tracked.dispatch.prompt_tokens;
        let found =
            prefix::Found { estimated_tokens: tokens, prompt_tokens: tokens, cached_tokens };
        engine.memory.record_found(&prompt.hit, found, &retained.settings);
    }

    /// Forgets the prompt of a dispatch that has ended.
    pub(super) fn forget_prompt(&mut self, id: DispatchId) {
        if let Some(retained) = &mut self.retained {
            retained.prompts.remove(&id);
        }
    }
}
