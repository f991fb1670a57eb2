//! Times for which upstreams want no requests from a host that they turned away: takes them from
//! answers, tells the hosts that place requests, and logs and counts them.
//! [`lagoonline::load::backoff`] keeps them.
//!
//! If another host carried the connection, the upstream turned that one away; it is told
//! ([`crate::carriers`]), and both send nothing.

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::backoff;
use lagoonline::routing;

use crate::carriers;
use crate::event;
use crate::heads;
use crate::mesh;
use crate::message;
use crate::state;

/// Statuses by which an upstream turns a host away. Of other answers the field is about the request.
const TURNED_AWAY: [u16; 2] = [503, 429];

/// A time for which an upstream wants no requests.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct BackedOff {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    upstream: String,
    /// When the upstream's lifetime began, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    life: u64,
    /// Milliseconds until it wants requests again.
    #[prost(uint64, tag = "3")]
    left_ms: u64,
    /// Whether it is the receiver that was turned away, and not the sender.
    #[prost(bool, tag = "4")]
    by_receiver: bool,
    /// Whether it is news to hosts that were not turned away.
    #[prost(bool, tag = "5")]
    is_hint: bool,
}

impl BackedOff {
    fn new(backoff: &backoff::Backoff, now: clock::Moment) -> BackedOff {
        let left = backoff.until.since(now).as_millis();
        BackedOff {
            upstream: backoff.upstream.to_string(),
            life: backoff.started_ms,
            left_ms: u64::try_from(left).unwrap_or(u64::MAX),
            by_receiver: false,
            is_hint: false,
        }
    }

    /// A time of the host that receives it, by which the upstream's connection went.
    pub(crate) fn by_receiver(backoff: &backoff::Backoff, now: clock::Moment) -> BackedOff {
        BackedOff { by_receiver: true, ..BackedOff::new(backoff, now) }
    }

    /// Whether hosts of other zones should hear of it.
    pub(crate) fn is_for_all(&self) -> bool {
        self.is_hint && !self.by_receiver
    }

    /// Creates the update that tells other hosts. It concerns no service in particular.
    pub(crate) fn update(self) -> message::Update {
        message::Update::new(0, &id::Service::from(""), message::Kind::BackedOff(self))
    }
}

impl state::State {
    /// Applies what an answer says of the time after which its upstream wants further requests.
    pub(crate) fn observe_retry_after(
        &self,
        origin: &heads::Origin<'_>,
        status: u16,
        after: &head::RetryAfter,
    ) {
        if !TURNED_AWAY.contains(&status) {
            return;
        }
        let span = match after {
            head::RetryAfter::Unsaid => return,
            head::RetryAfter::In(span) => *span,
            head::RetryAfter::At(at_ms) => {
                clock::Span::from_millis(at_ms.saturating_sub(self.clock.wall_millis()))
            }
            head::RetryAfter::Unreadable(text) => {
                return self.log_unreadable(origin, status, "retry_after_unreadable", text);
            }
        };
        self.metrics.retry_after_answers.inc();
        if span.is_zero() {
            return;
        }
        let until = origin.seen_at + span;
        let backoff = backoff::Backoff {
            upstream: origin.upstream.clone(),
            started_ms: origin.started_ms,
            until,
        };
        if let Some(change) = self.back_off(&backoff) {
            let event = match change {
                backoff::Change::Begun => "backoff_begun",
                backoff::Change::Extended => "backoff_extended",
            };
            origin.line(event, status).span("span_ms", span).info();
        }
        if let Some(host) = origin.through {
            self.tell_carrier(host, carriers::Word::Backoff(backoff));
        }
    }

    /// Keeps a time of this host, and tells the hosts that place requests.
    fn back_off(&self, backoff: &backoff::Backoff) -> Option<backoff::Change> {
        let now = self.clock.now();
        let backoff::Backoff { upstream, started_ms, until } = backoff;
        let pair = (self.incarnation, upstream);
        let span = until.since(now);
        let mut backoffs = state::lock(&self.backoffs);
        let change = backoffs.record(pair, *started_ms, span, now)?;
        let is_hint = backoffs.record_hint(upstream, *started_ms, span, now);
        drop(backoffs);
        if is_hint {
            let word = BackedOff { is_hint, ..BackedOff::new(backoff, now) };
            self.publish(word.update());
        } else if state::lock(&self.peers).roster.own_zone_has_scheduler() {
            self.tell_scheduler(backoff);
        }
        Some(change)
    }

    /// Tells the host that places requests for this zone.
    pub(crate) fn tell_scheduler(&self, backoff: &backoff::Backoff) {
        let update = BackedOff::new(backoff, self.clock.now()).update();
        self.queue_update(update, mesh::Audience::OwnZone);
    }

    /// Applies a time of the host incarnation `host`, or of this one, which `host` reported.
    pub(crate) fn apply_backoff(&self, host: u64, word: &BackedOff) {
        let now = self.clock.now();
        let upstream = id::Upstream::from(word.upstream.as_str());
        let span = clock::Span::from_millis(word.left_ms);
        if !word.by_receiver {
            let mut backoffs = state::lock(&self.backoffs);
            backoffs.record((host, &upstream), word.life, span, now);
            backoffs.record_hint(&upstream, word.life, span, now);
            return;
        }
        let backoff = backoff::Backoff { upstream, started_ms: word.life, until: now + span };
        if self.back_off(&backoff) == Some(backoff::Change::Begun) {
            event::Line::new("backoff_begun")
                .text("upstream", &backoff.upstream)
                .number("life", word.life)
                .number("told_by", host)
                .span("span_ms", span)
                .info();
        }
    }

    /// Returns the upstreams that want no requests now from a host, this one or one for which it
    /// places requests.
    pub(crate) fn backoffs_of(&self, host: u64) -> Vec<backoff::Backoff> {
        state::lock(&self.backoffs).in_force(host, self.clock.now())
    }

    /// Returns the upstreams that want no requests now from some host.
    pub(crate) fn backoff_hints(&self) -> Vec<backoff::Backoff> {
        state::lock(&self.backoffs).hints(self.clock.now())
    }

    /// Returns updates that tell a host of this zone the times of this one.
    pub(crate) fn backoff_updates(&self) -> Vec<message::Update> {
        let now = self.clock.now();
        let backoffs = self.backoffs_of(self.incarnation);
        backoffs.iter().map(|backoff| BackedOff::new(backoff, now).update()).collect()
    }

    /// Returns until when an upstream wants no requests from this host; `None` if it does now.
    pub(crate) fn backoff_until(&self, entry: &routing::Registration) -> Option<clock::Moment> {
        let pair = (self.incarnation, &entry.upstream);
        state::lock(&self.backoffs).until(pair, entry.started_ms, self.clock.now())
    }

    /// Returns how long ago the last time of an upstream for this host ended, for the log.
    pub(crate) fn backoff_ended(&self, upstream: &id::Upstream) -> Option<clock::Span> {
        state::lock(&self.backoffs).ended((self.incarnation, upstream), self.clock.now())
    }

    /// Counts a request to an upstream that wants none from this host.
    pub(crate) fn count_send(&self, entry: &routing::Registration) {
        if self.backoff_until(entry).is_some() {
            self.metrics.sends_in_backoff.inc();
        }
    }

    /// Forgets times that are over, and updates their metric.
    pub(crate) fn expire_backoffs(&self) {
        if state::lock(&self.backoffs).is_empty() {
            return;
        }
        let now = self.clock.now();
        let peers = state::lock(&self.peers).incarnations();
        let registry = self.registry();
        let is_host = |host: u64| host == self.incarnation || peers.contains(&host);
        let mut backoffs = state::lock(&self.backoffs);
        backoffs.expire(now, |host, upstream| is_host(host) && registry.is_remembered(upstream));
        let in_force = backoffs.in_force(self.incarnation, now).len();
        self.metrics.backoffs.set(i64::try_from(in_force).unwrap_or(i64::MAX));
    }
}
