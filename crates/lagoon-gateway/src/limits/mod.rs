//! Limits that upstreams name on their requests: reads them from answers, exchanges them with other
//! hosts, and logs and counts them. [`lagoonline::load::upstream_limit`] applies them.

mod message;

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{placement, upstream_limit};
use lagoonline::routing;

use crate::event;
use crate::forward;
use crate::mesh;
use crate::message as datagram;
use crate::state;

pub(crate) use message::{Limited, Ordered, Promised};

/// Time for which an answer that names a known limit again is not worth telling other hosts.
const REPEAT_INTERVAL: clock::Span = clock::Span::from_millis(500);

/// Where an observation of a limit comes from, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// An answer to this host.
    OwnAnswer,
    /// The host incarnation that had the answer.
    Host(u64),
}

impl forward::Admitted {
    /// Applies what the answer `open` says of its upstream's limit, and tells other hosts.
    pub(crate) fn observe_limit(&self, open: &forward::OpenAnswer, answer: &head::Answer) {
        let rate = match &answer.rate_limit {
            head::RateLimit::PerSecond(rate) => Some(*rate),
            // A refusal may be made before the upstream looks at its limit.
            head::RateLimit::Unlimited if answer.signed => None,
            head::RateLimit::Unlimited => return,
            head::RateLimit::Invalid(text) => {
                return self.state.log_invalid_limit(&self.service, &open.upstream, text);
            }
        };
        let seen = open.head_at;
        let observation = upstream_limit::Observation { rate, sent: open.sent_at, seen };
        let now = self.state.clock.now();
        let age = self
            .state
            .with_placer(&self.service, |placer, now| placer.limit_age(&open.upstream, now));
        let known_for = age.flatten();
        if rate.is_none() && known_for.is_none() && !open.limited {
            return;
        }
        let limited = Limited::new(&open.upstream, open.started_ms, &observation, now);
        let change = self.state.apply_limit(&self.service, &limited, Source::OwnAnswer);
        let is_recent = known_for.is_some_and(|age| age < REPEAT_INTERVAL);
        if change.is_some() || !is_recent {
            let what = datagram::Kind::Limited(limited);
            self.state.publish(datagram::Update::new(0, &self.service, what));
        }
    }

    /// Tells the other hosts of the zone that the caller was told to come back after `span`,
    /// because all upstreams limit their requests.
    pub(crate) fn publish_promise(&self, span: clock::Span) {
        let what = datagram::Kind::Promised(Promised::new(&self.fingerprint(), span));
        let update = datagram::Update::new(0, &self.service, what);
        self.state.queue_update(update, mesh::Audience::OwnZone);
    }
}

impl state::State {
    /// Applies what another host was told of an upstream's limit.
    pub(crate) fn apply_limited(&self, service: &id::Service, sender: u64, limited: &Limited) {
        self.apply_limit(service, limited, Source::Host(sender));
    }

    fn apply_limit(
        &self,
        service: &id::Service,
        limited: &Limited,
        source: Source,
    ) -> Option<upstream_limit::Change> {
        let now = self.clock.now();
        let upstream = id::Upstream::from(limited.upstream.as_str());
        let observation = limited.observation(now);
        let change = self.with_placer(service, |placer, now| {
            placer.observe_limit(&upstream, limited.life, &observation, now)
        });
        let change = change.flatten()?;
        self.update_limit_share();
        log_change(change, limited, source, self.limit_share());
        Some(change)
    }

    /// Logs a limit that cannot be read, once for each lifetime of its upstream. The limit in force
    /// stays.
    fn log_invalid_limit(&self, service: &id::Service, upstream: &id::Upstream, text: &str) {
        let is_first =
            self.with_placer(service, |placer, _| placer.record_unreadable_limit(upstream));
        if is_first == Some(true) {
            event::Line::new("limit_unreadable")
                .text("upstream", upstream)
                .text("value", text)
                .text("outcome", "ignored; what was known of the limit stays")
                .warn();
        }
    }

    /// Records an order to an upstream, which counts against its limit, and tells other hosts.
    pub(crate) fn record_order(&self, entry: &routing::Registration) {
        let upstream = &entry.upstream;
        let limited = self.with_placer(&entry.service, |placer, now| {
            placer.record_order(upstream, now);
            placer.is_limited(upstream)
        });
        if limited == Some(true) {
            let what = datagram::Kind::Ordered(Ordered { upstream: upstream.to_string() });
            self.publish(datagram::Update::new(0, &entry.service, what));
        }
    }

    /// Updates this host's share of the limits of upstreams, and their metrics.
    pub(crate) fn update_limits(&self) {
        let mut limits: Vec<placement::AppliedLimit> = Vec::new();
        for service_state in self.service_states.load().values() {
            limits.extend(state::lock(service_state).placer.limits());
        }
        if !limits.is_empty() {
            self.update_limit_share();
        }
        self.metrics.set_limits(&limits, self.clock.now());
    }

    fn update_limit_share(&self) {
        let share = self.limit_share();
        let now = self.clock.now();
        for service_state in self.service_states.load().values() {
            state::lock(service_state).placer.set_share(share, now);
        }
    }

    fn limit_share(&self) -> f64 {
        state::lock(&self.peers).roster.limit_share(self.clock.now())
    }

    /// Returns updates that tell a host all limits in force.
    pub(crate) fn limit_updates(&self) -> Vec<datagram::Update> {
        let now = self.clock.now();
        let mut updates = Vec::new();
        for (service, service_state) in self.service_states.load().iter() {
            for limit in state::lock(service_state).placer.limits() {
                let limited = Limited::new(&limit.upstream, limit.started_ms, &limit.last, now);
                let what = datagram::Kind::Limited(limited);
                updates.push(datagram::Update::new(0, service, what));
            }
        }
        updates
    }
}

fn log_change(change: upstream_limit::Change, limited: &Limited, source: Source, share: f64) {
    let event = match change {
        upstream_limit::Change::Learned => "limit_learned",
        upstream_limit::Change::Changed => "limit_changed",
        upstream_limit::Change::Ended => "limit_ended",
    };
    let line = event::Line::new(event)
        .text("upstream", &limited.upstream)
        .number("life", limited.life)
        .number("per_second", limited.rate.unwrap_or(0.0))
        .number("age_ms", limited.seen_ms)
        .number("share", share);
    match source {
        Source::OwnAnswer => line.text("source", "own answer").info(),
        Source::Host(incarnation) => line.number("source", incarnation).info(),
    }
}
