//! One simulated entry host.

use std::net;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::{backoff, placement, profile};
use lagoonline::routing;

use super::scenario::Scenario;

/// Start of the lifetime of all upstreams.
const STARTED_MS: u64 = 1;
/// Prompt length in tokens, and maximum length of the answer.
const PROMPT_TOKENS: u64 = 5_000;
const ANSWER_TOKENS: u64 = 400;
/// Longest pause between events of an answer.
const MAX_GAP: clock::Span = clock::Span::from_millis(250);
/// Time within which callers want their answer to begin.
pub(super) const TARGET: clock::Span = clock::Span::from_millis(300);

/// The moment `millis` milliseconds after the start.
pub(super) fn moment(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// The name of an upstream.
pub(super) fn upstream(index: usize) -> id::Upstream {
    id::Upstream::from(format!("e{index:03}"))
}

/// The number of an upstream with the name `name`.
fn index(name: &id::Upstream) -> usize {
    name.as_str()[1..].parse().unwrap_or_default()
}

/// The name of a zone.
fn zone_name(zone: usize) -> id::Zone {
    id::Zone::from(format!("z{zone}"))
}

/// An entry host.
#[derive(Debug)]
pub(super) struct Host {
    placer: placement::Placer,
    backoffs: backoff::Backoffs,
    pub(super) zone: usize,
    zone_name: id::Zone,
    engines: bool,
}

impl Host {
    /// A host that knows all upstreams, and nothing of what they said.
    pub(super) fn new(number: usize, scenario: &Scenario) -> Host {
        let zone = number % scenario.zones;
        let entry = |index: usize| routing::Registration {
            upstream: upstream(index),
            service: id::Service::from("s"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            zone: zone_name(index % scenario.zones),
            slots: scenario.slots as u32,
            leaving: false,
            started_ms: STARTED_MS,
            cold: None,
        };
        let profile = profile::Profile {
            step_ms: 1.02,
            prefill_per_ms: 206.0,
            pairs_ms_per_m: 0.138,
            ..profile::Profile::default()
        };
        let entries: Vec<_> = (0..scenario.upstreams).map(entry).collect();
        let settings = placement::Settings::default();
        let mut placer = placement::Placer::new(settings, zone_name(zone), number as u64);
        placer.set_upstreams(&entries, scenario.engines.then_some(profile));
        let backoffs = backoff::Backoffs::default();
        Host { placer, backoffs, zone, zone_name: zone_name(zone), engines: scenario.engines }
    }

    /// Places a request of the host `asking`, which arrived at `began`.
    pub(super) fn place(
        &mut self,
        (asking, number): (usize, u64),
        (began, now): (u64, u64),
        avoid: &[id::Upstream],
        random: u64,
    ) -> Result<usize, placement::Refusal> {
        let now = moment(now);
        let backoffs = self.backoffs.in_force(asking as u64, now);
        let id = placement::DispatchId { host: asking as u64, number };
        let request = placement::Request {
            prompt_tokens: if self.engines { PROMPT_TOKENS } else { 0 },
            answer_tokens: ANSWER_TOKENS,
            target: (moment(began) + TARGET).since(now),
            max_gap: MAX_GAP,
            waited: now.since(moment(began)),
            waiter: id,
            zone: &self.zone_name,
            avoid,
            backoffs: &backoffs,
            hints: &self.backoffs.hints(now),
            random,
            identity: None,
            prefixes: &[],
            urgency: 0,
            customer: None,
            eligibility: &routing::Eligibility::default(),
            homes: &routing::Homes::default(),
        };
        self.placer.place(&request, now).map(|placed| index(&placed.primary.upstream))
    }

    /// Records a dispatch of any host.
    pub(super) fn record_sent(&mut self, id: placement::DispatchId, index: usize, now: u64) {
        let dispatch = placement::Dispatch {
            id,
            primary: upstream(index),
            helpers: Vec::new(),
            prompt_tokens: if self.engines { PROMPT_TOKENS } else { 0 },
            helper_reserves: Vec::new(),
            max_gap: MAX_GAP,
            deadline: moment(now) + clock::Span::from_secs(10),
            urgency: 0,
            customer: 0,
        };
        self.placer.record_dispatch(dispatch, moment(now));
    }

    /// Records the first token of a dispatch.
    pub(super) fn record_first(&mut self, id: placement::DispatchId, now: u64) {
        self.placer.record_first_token(id, moment(now));
    }

    /// Records the end of a dispatch.
    pub(super) fn record_end(&mut self, id: placement::DispatchId, now: u64) {
        self.placer.record_end(id, moment(now));
    }

    /// Records that an upstream could not be reached.
    pub(super) fn record_unreachable(&mut self, index: usize, now: u64) {
        self.placer.record_unreachable(&upstream(index), moment(now));
    }

    /// Records that an upstream wants no requests from the host `asked` until `until`.
    pub(super) fn record_backoff(&mut self, asked: usize, index: usize, until: u64, now: u64) {
        let span = moment(until).since(moment(now));
        let pair = (asked as u64, &upstream(index));
        self.backoffs.record(pair, STARTED_MS, span, moment(now));
    }

    /// Records that an upstream wants no requests from some host until `until`. Returns whether that is
    /// news.
    pub(super) fn record_hint(&mut self, index: usize, until: u64, now: u64) -> bool {
        let span = moment(until).since(moment(now));
        self.backoffs.record_hint(&upstream(index), STARTED_MS, span, moment(now))
    }

    /// Returns until when an upstream wants no requests from the host `host`, in milliseconds.
    pub(super) fn backoff_until(&self, host: usize, index: usize, now: u64) -> Option<u64> {
        let pair = (host as u64, &upstream(index));
        self.backoffs.until(pair, STARTED_MS, moment(now)).map(clock::Moment::as_millis)
    }
}
