//! One simulated entry host.

use std::collections;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::load::{placement, upstream_limit};
use lagoonline::routing;

use super::Way;

/// How long a zone counts as reachable after one of its hosts was last heard, in milliseconds.
const ZONE_TIMEOUT_MS: u64 = 1_300;
/// Start of the lifetime of all upstreams.
const STARTED_MS: u64 = 1;

/// What a host tells others.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// It sent a request.
    Sent { host: usize, number: u64, upstream: usize },
    /// An answer to it says this of a limit.
    Limited { upstream: usize, rate: Option<f64>, sent: u64, seen: u64 },
    /// It told a caller to come back.
    Promised { identity: fingerprint::Fingerprint, after: u64 },
    /// Nothing: a heartbeat.
    Heartbeat,
}

/// An entry host.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) placer: placement::Placer,
    pub(super) zone: usize,
    /// When each zone was last heard of, in milliseconds.
    heard: collections::BTreeMap<usize, u64>,
    number: usize,
    way: Way,
    hosts: usize,
}

/// The moment `millis` milliseconds after the start.
pub(super) fn moment(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// The name of an upstream.
pub(super) fn upstream(index: usize) -> id::Upstream {
    id::Upstream::from(format!("e{index:03}"))
}

impl Host {
    /// A host that knows `upstreams` upstreams and none of their limits.
    pub(super) fn new(
        number: usize,
        (zone, zones): (usize, usize),
        (way, hosts): (Way, usize),
        upstreams: usize,
        now: u64,
    ) -> Host {
        let settings = placement::Settings::default();
        let mut placer = placement::Placer::new(settings, id::Zone::from("z"), number as u64);
        let entry = |index: usize| routing::Registration {
            upstream: upstream(index),
            service: id::Service::from("s"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            zone: id::Zone::from("z"),
            slots: 1_000,
            leaving: false,
            started_ms: STARTED_MS,
            cold: None,
        };
        placer.set_upstreams(&(0..upstreams).map(entry).collect::<Vec<_>>(), None);
        let heard = (0..zones).map(|zone| (zone, now)).collect();
        Host { placer, zone, heard, number, way, hosts }
    }

    /// Updates its share of the limits.
    pub(super) fn update_share(&mut self, now: u64) {
        let heard = |(zone, at): &(&usize, &u64)| {
            **zone == self.zone || now.saturating_sub(**at) <= ZONE_TIMEOUT_MS
        };
        let share = match self.way {
            Way::EvenShares => 1.0 / self.hosts as f64,
            Way::Counted | Way::Turns => {
                self.heard.iter().filter(heard).count() as f64 / self.heard.len() as f64
            }
            Way::Ignored | Way::Alone | Way::Owner => 1.0,
        };
        self.placer.set_share(share, moment(now));
    }

    /// Applies a message of a host of `zone`.
    pub(super) fn receive(&mut self, message: &Message, zone: usize, now: u64) {
        self.heard.insert(zone, now);
        match message {
            Message::Sent { host, number, upstream } => {
                if self.way == Way::Turns {
                    self.placer.record_placing_host(*host as u64, moment(now));
                }
                if self.way.counts_others() {
                    self.record(*host, *number, *upstream, now);
                }
            }
            Message::Limited { upstream, rate, sent, seen } => {
                self.observe(*upstream, *rate, (*sent, *seen), now);
            }
            Message::Promised { identity, after } => {
                let span = clock::Span::from_millis(*after);
                self.placer.record_promise(*identity, span, moment(now));
            }
            Message::Heartbeat => {}
        }
    }

    /// Applies what an answer says of a limit, and returns whether that changed it.
    pub(super) fn observe(
        &mut self,
        index: usize,
        rate: Option<f64>,
        (sent, seen): (u64, u64),
        now: u64,
    ) -> bool {
        if self.way == Way::Ignored {
            return false;
        }
        let answer = upstream_limit::Observation { rate, sent: moment(sent), seen: moment(seen) };
        let change = self.placer.observe_limit(&upstream(index), STARTED_MS, &answer, moment(now));
        self.update_share(now);
        change.is_some()
    }

    /// Places a request, and records its dispatch under `number`.
    pub(super) fn place(
        &mut self,
        request: &placement::Request<'_>,
        number: u64,
        now: u64,
    ) -> Result<usize, placement::Refusal> {
        let placed = self.placer.place(request, moment(now))?;
        let name = placed.primary.upstream.as_str();
        let index = name[1..].parse().unwrap_or_default();
        if self.way == Way::Turns {
            self.placer.record_placing_host(self.number as u64, moment(now));
        }
        self.record(self.number, number, index, now);
        Ok(index)
    }

    /// Records a dispatch of `host`; it ends at once, so that only its permit counts.
    fn record(&mut self, host: usize, number: u64, index: usize, now: u64) {
        let id = placement::DispatchId { host: host as u64, number };
        let dispatch = placement::Dispatch {
            id,
            primary: upstream(index),
            helpers: Vec::new(),
            prompt_tokens: 0,
            helper_reserves: Vec::new(),
            max_gap: clock::Span::ZERO,
            deadline: moment(now),
            urgency: 0,
            customer: 0,
        };
        self.placer.record_dispatch(dispatch, moment(now));
        self.placer.record_end(id, moment(now));
    }
}
