//! Cold upstreams: takes from entries, answers and other hosts until when they are cold, tells other
//! hosts, and logs and counts it. [`lagoonline::load::cold`] limits their requests.

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{cold, placement};
use lagoonline::routing;

use crate::event;
use crate::forward;
use crate::heads;
use crate::limits;
use crate::message;
use crate::state;

/// Time for which an answer that names a known cold time again is not worth telling other hosts.
const REPEAT_INTERVAL: clock::Span = clock::Span::from_millis(500);

/// What an answer says of its upstream's being cold.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Cold {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    upstream: String,
    /// When the upstream's lifetime began, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    life: u64,
    /// Milliseconds for which it was cold when the answer arrived; 0 if it was not.
    #[prost(uint32, tag = "3")]
    left_ms: u32,
    /// Milliseconds since the request of the answer was sent.
    #[prost(uint32, tag = "4")]
    sent_ms: u32,
    /// Milliseconds since the answer arrived.
    #[prost(uint32, tag = "5")]
    seen_ms: u32,
}

impl Cold {
    fn new(
        upstream: &id::Upstream,
        life: u64,
        answer: &cold::Observation,
        now: clock::Moment,
    ) -> Cold {
        Cold {
            upstream: upstream.to_string(),
            life,
            left_ms: message::to_millis(answer.remaining),
            sent_ms: message::to_millis(now.since(answer.sent)),
            seen_ms: message::to_millis(now.since(answer.seen)),
        }
    }

    /// Decodes the observation, received at `now`.
    fn observation(&self, now: clock::Moment) -> cold::Observation {
        cold::Observation {
            remaining: message::from_millis(self.left_ms),
            sent: now.saturating_sub(message::from_millis(self.sent_ms)),
            seen: now.saturating_sub(message::from_millis(self.seen_ms)),
        }
    }
}

/// The name of a source in log lines.
fn source_name(source: cold::Source) -> &'static str {
    match source {
        cold::Source::Entry => "entry",
        cold::Source::Answer => "answer",
        cold::Source::Start => "start",
    }
}

impl state::State {
    /// Returns the bound on the arrivals at a cold upstream.
    pub(crate) fn cold_bound(&self) -> cold::Bound {
        let bounds = &self.settings.node.bounds;
        cold::Bound { overage: bounds.cold_overage, slack: bounds.cold_slack }
    }

    /// Applies what the answer of `origin` says of its upstream's being cold, and tells other hosts.
    pub(crate) fn observe_cold(&self, origin: &heads::Origin<'_>, answer: &head::Answer) {
        let Some(remaining) = answer.cold else { return };
        let heads::Origin { service, upstream, started_ms, sent_at, seen_at, .. } = *origin;
        let observation = cold::Observation { remaining, sent: sent_at, seen: seen_at };
        let age = self.with_placer(service, |placer, now| placer.cold_age(upstream, now));
        let change = self.apply_observation(service, upstream, started_ms, &observation);
        let is_cold = self.with_placer(service, |placer, _| placer.is_cold(upstream));
        let was_said_lately = age.flatten().is_some_and(|age| age < REPEAT_INTERVAL);
        if change.is_some() || is_cold == Some(true) && !was_said_lately {
            let now = self.clock.now();
            let what = message::Kind::Cold(Cold::new(upstream, started_ms, &observation, now));
            self.publish(message::Update::new(0, service, what));
        }
    }

    /// Applies what another host was told of an upstream's being cold.
    pub(crate) fn apply_cold(&self, service: &id::Service, cold: &Cold) {
        let upstream = id::Upstream::from(cold.upstream.as_str());
        let observation = cold.observation(self.clock.now());
        self.apply_observation(service, &upstream, cold.life, &observation);
    }

    fn apply_observation(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        started_ms: u64,
        observation: &cold::Observation,
    ) -> Option<cold::Change> {
        let change = self.with_placer(service, |placer, now| {
            placer.observe_cold(upstream, started_ms, observation, now)
        });
        let change = change.flatten()?;
        self.log_cold(service, &[(upstream.clone(), change)]);
        Some(change)
    }

    /// Logs changes of the cold upstreams of `service`.
    pub(crate) fn log_cold(&self, service: &id::Service, changes: &[(id::Upstream, cold::Change)]) {
        if changes.is_empty() {
            return;
        }
        let cold = self.with_placer(service, |placer, _| placer.cold_upstreams().collect());
        let cold: Vec<placement::ColdUpstream> = cold.unwrap_or_default();
        let now = self.clock.now();
        for (upstream, change) in changes {
            let event = match change {
                cold::Change::Begun => "upstream_cold",
                cold::Change::Extended => "upstream_cold_for_longer",
                cold::Change::Ended => "upstream_warm",
            };
            let line = event::Line::new(event).text("service", service).text("upstream", upstream);
            match cold.iter().find(|cold| cold.upstream == *upstream) {
                Some(cold) => line
                    .number("life", cold.started_ms)
                    .span("left_ms", cold.until.since(now))
                    .text("source", source_name(cold.source))
                    .info(),
                None => line.info(),
            }
        }
    }

    /// Ends cold times that are over, and updates this host's share of the permits and the metric.
    pub(crate) fn update_cold(&self) {
        let now = self.clock.now();
        let share = self.cold_share();
        let mut cold = 0;
        for (service, service_state) in self.service_states.load().iter() {
            let mut service_state = state::lock(service_state);
            let placer = &mut service_state.placer;
            placer.set_cold_share(share, now);
            let warmed = placer.expire_cold(now);
            cold += placer.cold_upstreams().count();
            drop(service_state);
            let ended = warmed.into_iter().map(|upstream| (upstream, cold::Change::Ended));
            self.log_cold(service, &ended.collect::<Vec<_>>());
        }
        self.metrics.upstreams_cold.set(i64::try_from(cold).unwrap_or(i64::MAX));
    }

    /// Returns this host's share of the permits of cold upstreams: none if another host schedules
    /// for it, since it is not told of the requests of others.
    fn cold_share(&self) -> f64 {
        let now = self.clock.now();
        let peers = state::lock(&self.peers);
        if peers.roster.tracks_in_flight(now) { peers.roster.limit_share(now) } else { 0.0 }
    }

    /// Returns updates that tell a host the cold times that answers named.
    pub(crate) fn cold_updates(&self) -> Vec<message::Update> {
        let now = self.clock.now();
        let mut updates = Vec::new();
        for (service, service_state) in self.service_states.load().iter() {
            for known in state::lock(service_state).placer.cold_upstreams() {
                let Some(last) = known.last else { continue };
                let cold = Cold::new(&known.upstream, known.started_ms, &last, now);
                updates.push(message::Update::new(0, service, message::Kind::Cold(cold)));
            }
        }
        updates
    }

    /// Takes another permit of an upstream for a request that is sent long after its placement, and
    /// tells other hosts. Returns whether the request may be sent.
    fn renew_cold_permit(&self, entry: &routing::Registration) -> bool {
        let upstream = &entry.upstream;
        let renewed = self.with_placer(&entry.service, |placer, now| {
            (placer.is_cold(upstream), placer.renew_cold_permit(upstream, now))
        });
        let Some((true, may_send)) = renewed else { return true };
        if may_send {
            let what = message::Kind::Called(limits::Called { upstream: upstream.to_string() });
            self.publish(message::Update::new(0, &entry.service, what));
        }
        may_send
    }
}

impl forward::Admitted {
    /// Returns why a request that was placed at `placed_at` must not be sent now to cold upstreams,
    /// which counted it then; `None` if it may be.
    pub(crate) fn stale_permit(
        &self,
        placement: &placement::Placement,
        placed_at: clock::Moment,
    ) -> Option<String> {
        if self.state.clock.now().since(placed_at) <= cold::MAX_SEND_DELAY {
            return None;
        }
        let helpers = placement.helpers.iter().map(|helper| &helper.entry);
        let mut placed = std::iter::once(&placement.primary).chain(helpers);
        let refused = placed.find(|entry| !self.state.renew_cold_permit(entry))?;
        Some(format!("{}: it is cold, and was chosen too long ago", refused.upstream))
    }
}
