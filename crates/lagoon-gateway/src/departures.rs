//! Departures of upstreams: applies those that the platform's list shows, those that upstreams say in
//! their answers and those that other hosts report, and tells other hosts.
//!
//! A host that has lost the platform does not read that an upstream left. The hosts that read it, or
//! had an answer that says it, tell all others at once, repeat it for a short time in case a datagram
//! is lost, and tell each host that they meet. [`routing::Registry`] decides which statement is the
//! newer one.

use std::collections;
use std::fmt;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;

use crate::event;
use crate::message;
use crate::state;
use crate::tables;

/// Time for which a departure is repeated with each heartbeat.
const REPEAT_TIME: clock::Span = clock::Span::from_secs(1);
/// Maximum number of departures that a host is told when it is met; the others it reads itself.
const MAX_TOLD: usize = 500;

/// The departure of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Departed {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    upstream: String,
    /// When the upstream's lifetime began, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    life: u64,
    /// Version of the platform in which its entry was removed; absent if the upstream announced
    /// its departure.
    #[prost(uint64, optional, tag = "3")]
    removed: Option<u64>,
    /// Era of the platform's store in which its entry was removed; absent from a host of an earlier
    /// build.
    #[prost(uint64, optional, tag = "4")]
    era: Option<u64>,
}

impl Departed {
    pub(crate) fn new(departure: &routing::Departure) -> Departed {
        let revision = match departure.cause {
            routing::DepartureCause::Announced => None,
            routing::DepartureCause::Removed { revision } => Some(revision),
        };
        Departed {
            upstream: departure.upstream.to_string(),
            life: departure.started_ms,
            removed: revision.map(|revision| revision.version),
            era: revision.map(|revision| revision.era),
        }
    }

    /// Decodes the departure. If it names no era, it is of `era`.
    fn departure(&self, era: u64) -> routing::Departure {
        let era = self.era.unwrap_or(era);
        routing::Departure {
            upstream: id::Upstream::from(self.upstream.as_str()),
            started_ms: self.life,
            cause: self.removed.map_or(routing::DepartureCause::Announced, |version| {
                routing::DepartureCause::Removed { revision: routing::Revision { era, version } }
            }),
        }
    }

    /// Creates the update that tells other hosts. It concerns no service in particular.
    pub(crate) fn update(&self) -> message::Update {
        message::Update::new(0, &id::Service::from(""), message::Kind::Departed(self.clone()))
    }
}

/// Departures that this host has read, or was told by the upstream, and repeats to others, each with the
/// time of the first.
pub(crate) type Repeated = collections::VecDeque<(Departed, clock::Moment)>;

/// The way by which a statement about an upstream reached this host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    /// The platform's list, read by this host or passed on, with its age.
    List(tables::Way, clock::Span),
    /// An answer of the upstream itself.
    Answer,
    /// The host incarnation that reported it.
    Host(u64),
    /// The time that has passed.
    Time,
}

impl Source {
    /// Returns the kind of the way, for metrics.
    fn label(self) -> &'static str {
        match self {
            Source::List(tables::Way::Platform, _) => "platform",
            Source::List(tables::Way::Relay, _) => "relay",
            Source::Answer => "answer",
            Source::Host(_) => "host",
            Source::Time => "time",
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::List(way, _) => way.fmt(formatter),
            Source::Answer => formatter.write_str("answer"),
            Source::Host(incarnation) => write!(formatter, "host {incarnation}"),
            Source::Time => formatter.write_str("time"),
        }
    }
}

impl state::State {
    /// Applies a change of the list that came by `way` and is `age` old.
    pub(crate) fn apply_change(
        &self,
        registry: &mut routing::Registry,
        change: routing::Change,
        way: tables::Way,
        age: clock::Span,
    ) {
        let upstream = change.upstream().clone();
        let revision = change.revision();
        let effect = registry.apply(change, self.clock.now());
        if let routing::Effect::Departed { departure, witnessed: true } = &effect
            && way == tables::Way::Platform
        {
            self.publish_departure(departure);
        }
        self.log_effect(&upstream, Some(revision), &effect, Source::List(way, age));
    }

    /// Applies that an upstream said in an answer that it is leaving, and tells other hosts. It is as
    /// final as the same word in the platform's list. Returns whether it is news.
    pub(crate) fn apply_announcement(&self, departure: &routing::Departure) -> bool {
        let effect = self.registry().learn(departure, self.clock.now());
        self.log_effect(&departure.upstream, None, &effect, Source::Answer);
        let routing::Effect::Departed { departure, .. } = &effect else { return false };
        self.publish_departure(departure);
        self.refresh_service_states();
        true
    }

    /// Applies a departure that another host reported.
    pub(crate) fn apply_departed(&self, sender: u64, departed: &Departed) {
        let departure = departed.departure(self.era.get().number());
        let effect = self.registry().learn(&departure, self.clock.now());
        let revision = match departure.cause {
            routing::DepartureCause::Announced => None,
            routing::DepartureCause::Removed { revision } => Some(revision),
        };
        self.log_effect(&departure.upstream, revision, &effect, Source::Host(sender));
        if matches!(effect, routing::Effect::Departed { .. }) {
            self.refresh_service_states();
        }
    }

    /// Returns updates that tell a host the departures that this one knows.
    pub(crate) fn departure_updates(&self) -> Vec<message::Update> {
        let registry = self.registry();
        let departures = registry.departures().take(MAX_TOLD);
        departures.map(|departure| Departed::new(&departure).update()).collect()
    }

    /// Tells the other hosts again of recent departures.
    pub(crate) fn repeat_departures(&self) {
        let now = self.clock.now();
        let mut repeated = state::lock(&self.repeated_departures);
        repeated.retain(|(_, first)| now.since(*first) <= REPEAT_TIME);
        let departures: Vec<_> = repeated.iter().map(|(departed, _)| departed.update()).collect();
        drop(repeated);
        for update in departures {
            self.publish(update);
        }
    }

    fn publish_departure(&self, departure: &routing::Departure) {
        let departed = Departed::new(departure);
        self.publish(departed.update());
        state::lock(&self.repeated_departures).push_back((departed, self.clock.now()));
    }

    /// Logs what a statement about `upstream`, of this revision of its row, did; `None` stands for a
    /// statement that comes from no row.
    pub(crate) fn log_effect(
        &self,
        upstream: &id::Upstream,
        revision: Option<routing::Revision>,
        effect: &routing::Effect,
        source: Source,
    ) {
        let line = match effect {
            routing::Effect::Listed | routing::Effect::Unchanged => return,
            routing::Effect::Departed { departure, witnessed } => {
                self.metrics.count_departure(source.label());
                event::Line::new("upstream_departed")
                    .number("life", departure.started_ms)
                    .number("announced", departure.cause == routing::DepartureCause::Announced)
                    .number("witnessed", witnessed)
            }
            routing::Effect::Kept(until) => {
                event::Line::new("upstream_kept").span("kept_ms", until.since(self.clock.now()))
            }
            routing::Effect::Forgotten => event::Line::new("upstream_forgotten"),
            routing::Effect::Ignored(older) => {
                self.metrics.older_statements.inc();
                event::Line::new("older_word_ignored").text("reason", older)
            }
        };
        let revision = revision.unwrap_or_default();
        let line = line.text("upstream", upstream).revision(revision);
        match source {
            Source::List(way, age) => line.text("way", way).span("age_ms", age).info(),
            Source::Answer | Source::Host(_) | Source::Time => line.text("way", source).info(),
        }
    }
}
