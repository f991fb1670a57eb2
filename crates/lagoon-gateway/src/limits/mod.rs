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
use crate::heads;
use crate::mesh;
use crate::message as datagram;
use crate::state;

pub(crate) use message::{Called, Limited, Promised};

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
    /// Tells the other hosts of the zone that the caller was told to come back after `span`,
    /// because all upstreams limit their requests.
    pub(crate) fn publish_promise(&self, span: clock::Span) {
        let what = datagram::Kind::Promised(Promised::new(&self.fingerprint(), span));
        let update = datagram::Update::new(0, &self.service, what);
        self.state.queue_update(update, mesh::Audience::OwnZone);
    }
}

impl state::State {
    /// Applies what the answer of `origin` says of its upstream's limit, and tells other hosts.
    pub(crate) fn observe_limit(&self, origin: &heads::Origin<'_>, answer: &head::Answer) {
        let heads::Origin { service, upstream, started_ms, sent_at, seen_at, limited, .. } =
            *origin;
        let rate = match &answer.rate_limit {
            head::RateLimit::PerSecond(rate) => Some(*rate),
            // Refusals, reports and orders may be answered without a look at the limit.
            head::RateLimit::Unlimited if answer.signed => None,
            head::RateLimit::Unlimited => return,
            head::RateLimit::Unreadable(text) => {
                return self.log_unreadable_limit(service, upstream, text);
            }
        };
        let age = self.with_placer(service, |placer, now| placer.limit_age(upstream, now));
        let age = age.flatten();
        if rate.is_none() && age.is_none() && !limited {
            return;
        }
        let observation = upstream_limit::Observation { rate, sent: sent_at, seen: seen_at };
        let change =
            self.apply_limit(service, upstream, started_ms, &observation, Source::OwnAnswer);
        let was_named_lately = age.is_some_and(|age| age < REPEAT_INTERVAL);
        if change.is_some() || !was_named_lately {
            let now = self.clock.now();
            let limited = Limited::new(upstream, started_ms, &observation, now);
            let what = datagram::Kind::Limited(limited);
            self.publish(datagram::Update::new(0, service, what));
        }
    }

    /// Applies what another host was told of an upstream's limit.
    pub(crate) fn apply_limited(&self, service: &id::Service, sender: u64, limited: &Limited) {
        let upstream = id::Upstream::from(limited.upstream.as_str());
        let Some(observation) = limited.observation(self.clock.now()) else {
            // The host sent a rate that no upstream can name; it is ignored.
            event::Line::new("words_unreadable")
                .text("upstream", &upstream)
                .text("error", format!("limit of {:?} a second", limited.rate))
                .warn();
            return;
        };
        self.apply_limit(service, &upstream, limited.life, &observation, Source::Host(sender));
    }

    fn apply_limit(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        started_ms: u64,
        observation: &upstream_limit::Observation,
        source: Source,
    ) -> Option<upstream_limit::Change> {
        let change = self.with_placer(service, |placer, now| {
            placer.observe_limit(upstream, started_ms, observation, now)
        });
        let change = change.flatten()?;
        self.update_limit_share();
        self.log_change(change, upstream, started_ms, observation, source);
        Some(change)
    }

    fn log_change(
        &self,
        change: upstream_limit::Change,
        upstream: &id::Upstream,
        started_ms: u64,
        observation: &upstream_limit::Observation,
        source: Source,
    ) {
        let event = match change {
            upstream_limit::Change::Learned => "limit_learned",
            upstream_limit::Change::Changed => "limit_changed",
            upstream_limit::Change::Ended => "limit_ended",
        };
        let line = event::Line::new(event)
            .text("upstream", upstream)
            .number("life", started_ms)
            .span("age_ms", self.clock.now().since(observation.seen))
            .number("share", self.limit_share());
        let line = match observation.rate {
            Some(rate) => line.number("per_second", rate),
            None => line,
        };
        match source {
            Source::OwnAnswer => line.text("source", "own answer").info(),
            Source::Host(incarnation) => line.number("source", incarnation).info(),
        }
    }

    /// Logs a limit that cannot be read, once for each lifetime of its upstream. The limit in force
    /// stays.
    fn log_unreadable_limit(&self, service: &id::Service, upstream: &id::Upstream, text: &str) {
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

    /// Records a report or an order that an upstream is asked for, which counts against its limit or
    /// its permits while it is cold, and tells other hosts.
    pub(crate) fn record_call(&self, entry: &routing::Registration) {
        let upstream = &entry.upstream;
        let is_counted = self.with_placer(&entry.service, |placer, now| {
            placer.record_call(upstream, now);
            placer.is_limited(upstream) || placer.is_cold(upstream)
        });
        if is_counted == Some(true) {
            let what = datagram::Kind::Called(Called { upstream: upstream.to_string() });
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
