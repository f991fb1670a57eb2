//! A placer with a clock, in front of simulated engines; shared by the tests of placement.

#![allow(dead_code, reason = "each test file uses a different part")]

use std::collections;
use std::net;
use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::{placement, profile};
use lagoonline::routing;

/// Tight gap limit, as of short prompts.
pub const TIGHT: Span = Span::from_millis(250);
/// Loose gap limit, as of long prompts.
pub const LOOSE: Span = Span::from_millis(1_000);

pub fn profile() -> profile::Profile {
    profile::Profile {
        step_ms: 1.02,
        prefill_per_ms: 206.0,
        pairs_ms_per_m: 0.138,
        ..Default::default()
    }
}

pub fn entry(index: usize, zone: &str) -> routing::Registration {
    routing::Registration {
        upstream: id::Upstream::from(format!("e{index:02}")),
        service: id::Service::from("llm"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16)),
        zone: id::Zone::from(zone),
        slots: 16,
        leaving: false,
        started_ms: 1,
        cold: None,
    }
}

pub fn name(index: usize) -> id::Upstream {
    entry(index, "a").upstream
}

/// Engines in three zones, in turn.
pub fn placer(engines: usize) -> placement::Placer {
    placer_with(placement::Settings::default(), engines)
}

/// As [`placer`], with `settings`.
pub fn placer_with(settings: placement::Settings, engines: usize) -> placement::Placer {
    let zones = ["a", "b", "c"];
    let entries: Vec<_> = (0..engines).map(|index| entry(index, zones[index % 3])).collect();
    let mut placer = placement::Placer::new(settings, id::Zone::from("a"), 1);
    placer.set_upstreams(&entries, Some(profile()));
    placer
}

/// A placement state with a clock and a counter of dispatches.
pub struct Simulation {
    pub placer: placement::Placer,
    pub now: Moment,
    pub number: u64,
}

impl Simulation {
    pub fn new(engines: usize) -> Simulation {
        Simulation { placer: placer(engines), now: Moment::from_millis(10), number: 0 }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
    }

    pub fn place(
        &mut self,
        prompt: u64,
        gap: Span,
        waited_ms: u64,
    ) -> Result<placement::Placement, placement::Refusal> {
        let target = if gap == TIGHT { Span::from_millis(300) } else { Span::from_millis(2_500) };
        self.place_request(&placement::Request {
            prompt_tokens: prompt,
            target,
            max_gap: gap,
            waited: Span::from_millis(waited_ms),
            ..self.request()
        })
    }

    /// A long prompt that has just arrived.
    pub fn request(&self) -> placement::Request<'static> {
        static ZONE: sync::LazyLock<id::Zone> = sync::LazyLock::new(|| id::Zone::from("a"));
        static ELIGIBILITY: sync::LazyLock<routing::Eligibility> =
            sync::LazyLock::new(routing::Eligibility::default);
        static HOMES: sync::LazyLock<routing::Homes> = sync::LazyLock::new(routing::Homes::default);
        placement::Request {
            prompt_tokens: 133_000,
            answer_tokens: 400,
            target: Span::from_millis(2_500),
            max_gap: LOOSE,
            waited: Span::ZERO,
            waiter: placement::DispatchId { host: 1, number: self.number },
            zone: &ZONE,
            avoid: &[],
            backoffs: &[],
            hints: &[],
            random: self.number,
            identity: None,
            prefixes: &[],
            urgency: 0,
            customer: None,
            eligibility: &ELIGIBILITY,
            homes: &HOMES,
        }
    }

    pub fn place_request(
        &mut self,
        request: &placement::Request<'_>,
    ) -> Result<placement::Placement, placement::Refusal> {
        self.placer.place(request, self.now)
    }

    /// Dispatches long prompts until the backlog bound is reached on all engines.
    pub fn fill_backlog(&mut self) {
        let mut sent = 0;
        while self.send(133_000, LOOSE).is_ok() {
            sent += 1;
            assert!(sent < 50, "no bound on the prefill backlog");
        }
    }

    /// Places a request and records its dispatch.
    pub fn send(
        &mut self,
        prompt: u64,
        gap: Span,
    ) -> Result<(placement::DispatchId, placement::Placement), placement::Refusal> {
        let placed = self.place(prompt, gap, 0)?;
        Ok((self.record(&placed, prompt, gap), placed))
    }

    /// Records the dispatch of a placed request.
    pub fn record(
        &mut self,
        placed: &placement::Placement,
        prompt: u64,
        gap: Span,
    ) -> placement::DispatchId {
        self.number += 1;
        let id = placement::DispatchId { host: 1, number: self.number };
        let deadline = self.now + Span::from_secs(10);
        let dispatch = placement::Dispatch::new(id, placed, prompt, gap, deadline);
        self.placer.record_dispatch(dispatch, self.now);
        id
    }

    /// Records a dispatch by another host to the engine `primary`, with parts prefilled by
    /// `helpers`.
    pub fn record_remote_dispatch(
        &mut self,
        primary: usize,
        helpers: Vec<id::Upstream>,
        prompt: u64,
        gap: Span,
    ) -> placement::DispatchId {
        self.number += 1;
        let id = placement::DispatchId { host: 2, number: self.number };
        let dispatch = placement::Dispatch {
            id,
            primary: name(primary),
            helpers,
            prompt_tokens: prompt,
            helper_reserves: Vec::new(),
            max_gap: gap,
            deadline: self.now + Span::from_secs(10),
            urgency: 0,
            customer: 0,
        };
        self.placer.record_dispatch(dispatch, self.now);
        id
    }

    /// Dispatches short prompts until `answers` answers are in decode.
    pub fn burst(&mut self, answers: usize) {
        for _ in 0..answers {
            let (id, _) = self.send(5_000, TIGHT).unwrap();
            self.placer.record_first_token(id, self.now);
            self.advance(3);
        }
    }
}

pub fn engines(placed: &placement::Placement) -> collections::BTreeSet<&str> {
    let helpers = placed.helpers.iter().map(|helper| helper.entry.upstream.as_str());
    helpers.chain([placed.primary.upstream.as_str()]).collect()
}
