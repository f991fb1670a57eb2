//! Messages between a host and its zone's scheduler, sent as prost datagrams. If a datagram is
//! lost, the host asks the next candidate for scheduler by rank, or places the request itself.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::{backoff, placement};
use lagoonline::routing;

use crate::message;
use crate::quarantine;

/// Asks where to send one dispatch.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Question {
    /// Number of the dispatch at the asking host.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Service of the request.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// Prompt length in tokens.
    #[prost(uint64, tag = "3")]
    pub(crate) prompt: u64,
    /// Maximum answer length in tokens.
    #[prost(uint64, tag = "4")]
    pub(crate) answer: u64,
    /// Milliseconds until the first event is late.
    #[prost(uint32, tag = "5")]
    pub(crate) target_ms: u32,
    /// Target for the longest gap between events, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub(crate) gap_ms: u32,
    /// Milliseconds that the request has waited for a place.
    #[prost(uint32, tag = "7")]
    pub(crate) waited_ms: u32,
    /// Milliseconds until the request's deadline.
    #[prost(uint32, tag = "8")]
    pub(crate) left_ms: u32,
    /// Upstreams on which the request failed before.
    #[prost(string, repeated, tag = "9")]
    pub(crate) avoid: Vec<String>,
    /// Identifies the request while it waits: each of its questions has a `number` of its own, but
    /// the same turn.
    #[prost(uint64, tag = "10")]
    pub(crate) turn: u64,
    /// What the request is, if the host has computed it.
    #[prost(message, optional, tag = "11")]
    pub(crate) identity: Option<quarantine::Identity>,
    /// Whether the request was sent before, so that the dispatch is a retry.
    #[prost(bool, tag = "12")]
    pub(crate) is_retry: bool,
    /// Priority of the request; 0 is the most urgent.
    #[prost(uint32, tag = "13")]
    pub(crate) urgency: u32,
    /// Customer that sent it; empty if there is none.
    #[prost(string, tag = "14")]
    pub(crate) customer: String,
    /// Where it may be processed; absent if everywhere.
    #[prost(message, optional, tag = "17")]
    pub(crate) homes: Option<Homes>,
}

/// The only regions in which a request may be processed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Homes {
    /// Names of the regions.
    #[prost(string, repeated, tag = "1")]
    regions: Vec<String>,
}

impl Homes {
    /// Encodes `homes`; `None` if all regions are allowed.
    fn new(homes: &routing::Homes) -> Option<Homes> {
        let regions = homes.regions()?.map(ToString::to_string).collect();
        Some(Homes { regions })
    }

    fn homes(&self) -> routing::Homes {
        routing::Homes::only(self.regions.iter().map(|name| id::Region::from(name.as_str())))
    }
}

/// What the scheduler knows of upstreams for a request of another host; see [`placement::Request`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known<'a> {
    pub(crate) avoid: &'a [id::Upstream],
    pub(crate) backoffs: &'a [backoff::Backoff],
    pub(crate) hints: &'a [backoff::Backoff],
    pub(crate) customer: Option<&'a id::Customer>,
    pub(crate) eligibility: &'a routing::Eligibility,
    pub(crate) homes: &'a routing::Homes,
}

impl Question {
    /// Creates the question for the dispatch `number` to `service`, which has `time_left` until its
    /// deadline.
    pub(crate) fn new(
        number: u64,
        service: &id::Service,
        request: &placement::Request<'_>,
        is_retry: bool,
        time_left: clock::Span,
    ) -> Question {
        Question {
            number,
            service: service.to_string(),
            prompt: request.prompt_tokens,
            answer: request.answer_tokens,
            target_ms: message::to_millis(request.target),
            gap_ms: message::to_millis(request.max_gap),
            waited_ms: message::to_millis(request.waited),
            left_ms: message::to_millis(time_left),
            avoid: request.avoid.iter().map(ToString::to_string).collect(),
            turn: request.waiter.number,
            identity: request.identity.as_ref().map(quarantine::Identity::new),
            is_retry,
            urgency: request.urgency,
            customer: request.customer.map(ToString::to_string).unwrap_or_default(),
            homes: Homes::new(request.homes),
        }
    }

    /// Decodes where the request may be processed.
    pub(crate) fn homes(&self) -> routing::Homes {
        self.homes.as_ref().map(Homes::homes).unwrap_or_default()
    }

    /// Returns the customer that sent the request, if any.
    pub(crate) fn customer(&self) -> Option<id::Customer> {
        let name = Some(self.customer.as_str()).filter(|name| !name.is_empty());
        name.map(id::Customer::from)
    }

    /// Decodes the placement request of the host incarnation `asking` in `zone`.
    pub(crate) fn request<'a>(
        &self,
        asking: u64,
        zone: &'a id::Zone,
        known: Known<'a>,
        random: u64,
    ) -> placement::Request<'a> {
        placement::Request {
            prompt_tokens: self.prompt,
            answer_tokens: self.answer,
            target: message::from_millis(self.target_ms),
            max_gap: message::from_millis(self.gap_ms),
            waited: message::from_millis(self.waited_ms),
            waiter: placement::DispatchId { host: asking, number: self.turn },
            zone,
            avoid: known.avoid,
            backoffs: known.backoffs,
            hints: known.hints,
            random,
            identity: self.identity.as_ref().and_then(|identity| identity.fingerprint().ok()),
            // The platform names parts of prompts without saying that engines retain them.
            prefixes: &[],
            urgency: self.urgency,
            customer: known.customer,
            eligibility: known.eligibility,
            homes: known.homes,
        }
    }

    /// Returns the record of the dispatch, placed as `placed` at `now`.
    pub(crate) fn dispatch(
        &self,
        id: placement::DispatchId,
        placed: &placement::Placement,
        now: clock::Moment,
    ) -> placement::Dispatch {
        let left = message::from_millis(self.left_ms);
        let customer = self.customer();
        placement::Dispatch::new(
            id,
            placed,
            self.prompt,
            message::from_millis(self.gap_ms),
            now + left,
        )
        .charged_to(self.urgency, placement::customer_number(customer.as_ref()))
    }
}

/// The scheduler's answer to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Answer {
    /// Number of the dispatch at the asking host.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// The decision; absent if the host that was asked does not schedule now or does not know the
    /// service.
    #[prost(oneof = "Decision", tags = "2, 3, 4")]
    pub(crate) decision: Option<Decision>,
}

/// A scheduler's decision.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Decision {
    /// The request was placed.
    #[prost(message, tag = "2")]
    Placed(Placed),
    /// The request cannot be placed now.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// The request may not be sent again.
    #[prost(message, tag = "4")]
    NoRetry(message::Empty),
}

/// Where a request is sent.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Placed {
    /// Upstream that answers the request.
    #[prost(string, tag = "1")]
    pub(crate) first: String,
    /// Tokens of memory to reserve on that upstream.
    #[prost(uint64, tag = "2")]
    pub(crate) reserve: u64,
    /// Engines that prefill parts of the prompt.
    #[prost(message, repeated, tag = "3")]
    pub(crate) helpers: Vec<Helper>,
    /// Expected time to the first token, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub(crate) expected_ms: u32,
    /// Estimated load of the upstream when it was chosen, for the log.
    #[prost(message, optional, tag = "5")]
    pub(crate) belief: Option<Estimate>,
    /// Whether the upstream has a limit on its requests.
    #[prost(bool, tag = "6")]
    pub(crate) limited: bool,
}

/// An engine that prefills a part of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Helper {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// Tokens of memory to reserve on it.
    #[prost(uint64, tag = "2")]
    pub(crate) reserve: u64,
}

/// Estimated load of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Estimate {
    /// Prefill time of its queue, in milliseconds.
    #[prost(double, tag = "1")]
    pub(crate) reading_ms: f64,
    /// Answers that it is decoding.
    #[prost(uint32, tag = "2")]
    pub(crate) writers: u32,
    /// Slots in use.
    #[prost(uint32, tag = "3")]
    pub(crate) places: u32,
    /// Milliseconds since the last sign of activity from it.
    #[prost(uint32, tag = "4")]
    pub(crate) heard_ms: u32,
}

/// Why a request cannot be placed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Refused {
    /// The reason.
    #[prost(enumeration = "Reason", tag = "1")]
    pub(crate) reason: i32,
    /// Milliseconds until the shortage is expected to end, for [`Reason::Full`].
    #[prost(uint32, tag = "2")]
    pub(crate) span_ms: u32,
    /// What the engines lack, for [`Reason::Busy`] and [`Reason::Full`].
    #[prost(enumeration = "Shortage", tag = "3")]
    pub(crate) shortage: i32,
}

/// The capacity that engines lack.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Shortage {
    /// A free slot: [`placement::Shortage::Slot`].
    Place = 0,
    /// Free memory for the prompt.
    Memory = 1,
    /// Prefill time: [`placement::Shortage::Prefill`].
    Reading = 2,
    /// Slack in event gaps, [`placement::Shortage::Gap`]: a prefill now would delay the events of
    /// running answers beyond their gap targets.
    Pause = 3,
    /// A request that an upstream takes: [`placement::Shortage::Permit`].
    Permit = 4,
    /// An upstream that wants requests of the asking host: [`placement::Shortage::Backoff`].
    Backoff = 5,
    /// An upstream in a zone that may be used: [`placement::Shortage::Zone`].
    Zone = 6,
}

impl From<placement::Shortage> for Shortage {
    fn from(shortage: placement::Shortage) -> Shortage {
        match shortage {
            placement::Shortage::Slot => Shortage::Place,
            placement::Shortage::Memory => Shortage::Memory,
            placement::Shortage::Prefill => Shortage::Reading,
            placement::Shortage::Gap => Shortage::Pause,
            placement::Shortage::Permit => Shortage::Permit,
            placement::Shortage::Backoff => Shortage::Backoff,
            placement::Shortage::Zone => Shortage::Zone,
        }
    }
}

impl From<Shortage> for placement::Shortage {
    fn from(shortage: Shortage) -> placement::Shortage {
        match shortage {
            Shortage::Place => placement::Shortage::Slot,
            Shortage::Memory => placement::Shortage::Memory,
            Shortage::Reading => placement::Shortage::Prefill,
            Shortage::Pause => placement::Shortage::Gap,
            Shortage::Permit => placement::Shortage::Permit,
            Shortage::Backoff => placement::Shortage::Backoff,
            Shortage::Zone => placement::Shortage::Zone,
        }
    }
}

/// Why a request cannot be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Reason {
    /// No upstream is available.
    NoUpstream = 0,
    /// The prompt is too long for all engines.
    TooLong = 1,
    /// No capacity now; the request should wait: [`placement::Refusal::Deferred`].
    Busy = 2,
    /// No capacity in time; the request would be late: [`placement::Refusal::Rejected`].
    Full = 3,
}

impl From<placement::Refusal> for Refused {
    fn from(refusal: placement::Refusal) -> Refused {
        let refused = |reason: Reason| Refused { reason: reason.into(), ..Refused::default() };
        let lacking = |reason, shortage| Refused {
            shortage: Shortage::from(shortage).into(),
            ..refused(reason)
        };
        match refusal {
            placement::Refusal::NoUpstream => refused(Reason::NoUpstream),
            placement::Refusal::TooLong => refused(Reason::TooLong),
            placement::Refusal::Deferred(shortage) => lacking(Reason::Busy, shortage),
            placement::Refusal::Rejected(shortage, span) => {
                Refused { span_ms: message::to_millis(span), ..lacking(Reason::Full, shortage) }
            }
        }
    }
}

impl From<&Refused> for placement::Refusal {
    fn from(refused: &Refused) -> placement::Refusal {
        let shortage = placement::Shortage::from(refused.shortage());
        match refused.reason() {
            Reason::NoUpstream => placement::Refusal::NoUpstream,
            Reason::TooLong => placement::Refusal::TooLong,
            Reason::Busy => placement::Refusal::Deferred(shortage),
            Reason::Full => {
                placement::Refusal::Rejected(shortage, message::from_millis(refused.span_ms))
            }
        }
    }
}

impl From<&placement::Placement> for Placed {
    fn from(placement: &placement::Placement) -> Placed {
        let helper = |helper: &placement::Helper| Helper {
            upstream: helper.entry.upstream.to_string(),
            reserve: helper.reserve,
        };
        let estimate = &placement.estimate;
        Placed {
            first: placement.primary.upstream.to_string(),
            reserve: placement.reserve,
            helpers: placement.helpers.iter().map(helper).collect(),
            expected_ms: message::to_millis(placement.expected),
            belief: Some(Estimate {
                reading_ms: estimate.prefill_ms,
                writers: estimate.decoding,
                places: u32::try_from(estimate.used_slots).unwrap_or(u32::MAX),
                heard_ms: message::to_millis(estimate.silence),
            }),
            limited: placement.limited,
        }
    }
}

impl Placed {
    /// Resolves the placement against the upstreams on `placer`. Returns `None` if one of them is
    /// not listed here or is leaving: the scheduler's list of upstreams may differ from this
    /// host's.
    pub(crate) fn placement(&self, placer: &placement::Placer) -> Option<placement::Placement> {
        let entry = |name: &str| placer.entry(name).filter(|entry| !entry.leaving).cloned();
        let helper = |helper: &Helper| {
            let entry = entry(&helper.upstream)?;
            Some(placement::Helper { entry, reserve: helper.reserve })
        };
        let estimate = self.belief.as_ref().map(|estimate| placement::Estimate {
            prefill_ms: estimate.reading_ms,
            decoding: estimate.writers,
            used_slots: estimate.places as usize,
            silence: message::from_millis(estimate.heard_ms),
        });
        Some(placement::Placement {
            primary: entry(&self.first)?,
            reserve: self.reserve,
            helpers: self.helpers.iter().map(helper).collect::<Option<_>>()?,
            expected: message::from_millis(self.expected_ms),
            estimate: estimate.unwrap_or_default(),
            runner_up: None,
            limited: self.limited,
        })
    }
}
