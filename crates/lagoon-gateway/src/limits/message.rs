//! Messages between hosts about limits that upstreams name.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::load::upstream_limit;

use crate::message;
use crate::quarantine;

/// What an answer says of its upstream's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Limited {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// When the upstream's lifetime began, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub(crate) life: u64,
    /// Requests per second; absent if the answer names no limit.
    #[prost(double, optional, tag = "3")]
    pub(crate) rate: Option<f64>,
    /// Milliseconds since the request of the answer was sent.
    #[prost(uint32, tag = "4")]
    sent_ms: u32,
    /// Milliseconds since the answer arrived.
    #[prost(uint32, tag = "5")]
    seen_ms: u32,
}

impl Limited {
    /// Encodes `observation` of an upstream whose lifetime began at `life`.
    pub(crate) fn new(
        upstream: &id::Upstream,
        life: u64,
        observation: &upstream_limit::Observation,
        now: clock::Moment,
    ) -> Limited {
        Limited {
            upstream: upstream.to_string(),
            life,
            rate: observation.rate,
            sent_ms: message::to_millis(now.since(observation.sent)),
            seen_ms: message::to_millis(now.since(observation.seen)),
        }
    }

    /// Decodes the observation, received at `now`; `None` if its rate is one that no upstream can
    /// name.
    pub(crate) fn observation(&self, now: clock::Moment) -> Option<upstream_limit::Observation> {
        if self.rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
            return None;
        }
        Some(upstream_limit::Observation {
            rate: self.rate,
            sent: now.saturating_sub(message::from_millis(self.sent_ms)),
            seen: now.saturating_sub(message::from_millis(self.seen_ms)),
        })
    }
}

/// An upstream that has a limit or is cold was asked for a report, or sent an order.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Called {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
}

/// A caller was told to come back, and a permit is kept for it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Promised {
    /// The request.
    #[prost(message, optional, tag = "1")]
    request: Option<quarantine::Identity>,
    /// Milliseconds after which its caller was told to come back.
    #[prost(uint32, tag = "2")]
    after_ms: u32,
}

impl Promised {
    pub(crate) fn new(request: &fingerprint::Fingerprint, span: clock::Span) -> Promised {
        Promised {
            request: Some(quarantine::Identity::new(request)),
            after_ms: message::to_millis(span),
        }
    }

    /// Decodes the request; `None` if only a later build can.
    pub(crate) fn request(&self) -> Option<fingerprint::Fingerprint> {
        self.request.as_ref()?.fingerprint().ok()
    }

    /// Time after which the caller was told to come back.
    pub(crate) fn span(&self) -> clock::Span {
        message::from_millis(self.after_ms)
    }
}
