//! Messages between entry hosts about dispatches and upstreams, sent as prost datagrams.
//!
//! A lost, late or duplicated update changes only a host's estimate of an engine's load, never an
//! answer to a caller. Quarantine verdicts are an exception, since they decide which requests are
//! refused; so hosts compare a checksum of their verdicts and send each other what is missing.
//! Departures of upstreams and evacuations of zones are others: they are repeated, sent to each host
//! that is met, and ordered by the receiver.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;
use prost::Message;

use crate::backoffs;
use crate::cold;
use crate::departures;
use crate::eligibility;
use crate::limits;
use crate::quarantine;
use crate::question;
use crate::retries;

/// A batch of updates from one host incarnation.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Batch {
    /// Number of the sending incarnation.
    #[prost(fixed64, tag = "1")]
    pub(crate) host: u64,
    /// The updates, in the order in which they happened.
    #[prost(message, repeated, tag = "2")]
    pub(crate) words: Vec<Update>,
    /// Milliseconds since the sender's desired state was last confirmed to be the newest; absent
    /// before the first confirmation.
    #[prost(uint32, optional, tag = "3")]
    pub(crate) confirmed_ms: Option<u32>,
    /// Heartbeat, sent periodically.
    #[prost(message, optional, tag = "4")]
    pub(crate) beat: Option<Heartbeat>,
    /// Questions to the receiver as the zone's scheduler.
    #[prost(message, repeated, tag = "5")]
    pub(crate) questions: Vec<question::Question>,
    /// Answers to the receiver's questions.
    #[prost(message, repeated, tag = "6")]
    pub(crate) answers: Vec<question::Answer>,
    /// Checksum of the quarantine verdicts that the sender knows.
    #[prost(fixed64, tag = "7")]
    pub(crate) verdicts: u64,
    /// Whether the sender has paths of its own to upstreams; absent if it has used none lately.
    #[prost(bool, optional, tag = "8")]
    pub(crate) reaches_upstreams: Option<bool>,
    /// What the sender used of the retry budgets in their last window; only within its zone.
    #[prost(message, repeated, tag = "9")]
    pub(crate) used: Vec<retries::Used>,
    /// Parts of prompts that were at several crashes; the sender asks when answers to prompts with
    /// them last began and went on.
    #[prost(string, repeated, tag = "10")]
    pub(crate) doubted: Vec<String>,
    /// Clock of the sender in milliseconds, if `used` is its report of all budgets.
    #[prost(uint64, optional, tag = "11")]
    pub(crate) reported_ms: Option<u64>,
    /// The latest such reports that have arrived at the sender from its zone.
    #[prost(message, repeated, tag = "12")]
    pub(crate) arrived: Vec<retries::Arrived>,
}

/// A heartbeat: identifies the host and lists its dispatches in flight.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Heartbeat {
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    /// Zone of the host.
    #[prost(string, tag = "2")]
    pub(crate) zone: String,
    /// Share of a processor core that the host may use.
    #[prost(double, tag = "3")]
    pub(crate) cores: f64,
    /// Dispatches in flight of this host, or of all hosts in its zone.
    #[prost(message, repeated, tag = "4")]
    pub(crate) under_way: Vec<Dispatches>,
    /// Whether the receiver should answer with a batch of its own.
    #[prost(bool, tag = "5")]
    pub(crate) wants_answer: bool,
}

/// All dispatches in flight of one host incarnation.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Dispatches {
    /// Number of the incarnation.
    #[prost(fixed64, tag = "1")]
    pub(crate) host: u64,
    /// Numbers of the dispatches.
    #[prost(uint64, repeated, tag = "2")]
    pub(crate) numbers: Vec<u64>,
}

/// An update about a dispatch, or about an upstream of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Update {
    /// Number of the dispatch at its host; 0 if the update is not about a dispatch.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// What happened; absent if only a later build knows its kind.
    #[prost(oneof = "Kind", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 19, 24")]
    pub(crate) what: Option<Kind>,
    /// Incarnation whose dispatch it is, if not the sender's.
    #[prost(fixed64, optional, tag = "20")]
    pub(crate) host: Option<u64>,
}

impl Update {
    /// Creates an update about this host's dispatch `number` to `service`.
    pub(crate) fn new(number: u64, service: &id::Service, what: Kind) -> Update {
        Update { number, service: service.to_string(), what: Some(what), host: None }
    }

    /// Creates an update about a dispatch of any host.
    pub(crate) fn about(id: placement::DispatchId, service: &id::Service, what: Kind) -> Update {
        Update { host: Some(id.host), ..Update::new(id.number, service, what) }
    }
}

/// The kind of an update.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Kind {
    /// The dispatch was sent.
    #[prost(message, tag = "3")]
    Sent(Dispatch),
    /// Its first token arrived.
    #[prost(message, tag = "4")]
    First(Empty),
    /// The dispatch ended.
    #[prost(message, tag = "5")]
    Ended(Empty),
    /// Not about a dispatch: an engine reported its speed.
    #[prost(message, tag = "6")]
    Reported(SlownessReport),
    /// Not about a dispatch: how an upstream handled a request.
    #[prost(message, tag = "7")]
    Seen(Observation),
    /// Not about a dispatch: an upstream crashed.
    #[prost(message, tag = "8")]
    Crashed(quarantine::Crashed),
    /// Not about a dispatch: a suspect was answered completely.
    #[prost(message, tag = "9")]
    Cleared(quarantine::Cleared),
    /// Not about a dispatch: a verdict on a request.
    #[prost(message, tag = "10")]
    Verdict(quarantine::Verdict),
    /// Not about a dispatch: what an answer says of its upstream's limit.
    #[prost(message, tag = "11")]
    Limited(limits::Limited),
    /// Not about a dispatch: an upstream that has a limit got a report request or an order.
    #[prost(message, tag = "12")]
    Called(limits::Called),
    /// Not about a dispatch: a caller was told to come back.
    #[prost(message, tag = "13")]
    Promised(limits::Promised),
    /// Not about a dispatch: an upstream left.
    #[prost(message, tag = "14")]
    Departed(departures::Departed),
    /// Not about a dispatch: what the hosts of the zone used of a retry budget.
    #[prost(message, tag = "15")]
    Used(retries::Usages),
    /// Not about a dispatch: answers to prompts with these parts began and went on.
    #[prost(message, tag = "16")]
    Begun(quarantine::Begun),
    /// Not about a dispatch: an upstream wants no requests from a host for a time.
    #[prost(message, tag = "17")]
    BackedOff(backoffs::BackedOff),
    /// Not about a dispatch: operators evacuated a zone, or returned it.
    #[prost(message, tag = "19")]
    Evacuated(eligibility::Evacuated),
    /// Not about a dispatch: what an answer says of its upstream's being cold.
    #[prost(message, tag = "24")]
    Cold(cold::Cold),
}

/// How an upstream handled a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Observation {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// What the upstream did, as an [`UpstreamOutcome`].
    #[prost(enumeration = "UpstreamOutcome", tag = "2")]
    pub(crate) manner: i32,
    /// Upstream that could not reach `upstream`; absent if the reporting host itself made the
    /// observation.
    #[prost(string, optional, tag = "3")]
    pub(crate) from: Option<String>,
}

/// What an upstream did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum UpstreamOutcome {
    /// Answered it.
    Answered = 0,
    /// Answered it with a server error.
    Erred = 1,
    /// Was unreachable, stopped responding, sent no valid answer, or did not complete its stream.
    Failed = 2,
    /// Had no memory to reserve.
    Full = 3,
}

/// The speed that an engine reported.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SlownessReport {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// Factor by which the engine is slower than its published speed.
    #[prost(double, tag = "2")]
    pub(crate) slowness: f64,
}

impl Observation {
    /// Creates an observation that `upstream` did `outcome`.
    pub(crate) fn new(upstream: &id::Upstream, outcome: UpstreamOutcome) -> Observation {
        Observation { upstream: upstream.to_string(), manner: outcome.into(), from: None }
    }

    /// Creates an observation that the engine `from` could not reach its helper `upstream`.
    pub(crate) fn helper_failed(from: &id::Upstream, upstream: &id::Upstream) -> Observation {
        Observation {
            from: Some(from.to_string()),
            ..Observation::new(upstream, UpstreamOutcome::Failed)
        }
    }

    /// Applies the observation to `placer`.
    pub(crate) fn apply(&self, placer: &mut placement::Placer, now: clock::Moment) {
        let upstream = id::Upstream::from(self.upstream.as_str());
        match (self.manner(), &self.from) {
            (UpstreamOutcome::Answered, _) => placer.record_success(&upstream, now),
            (UpstreamOutcome::Erred, _) => placer.record_error(&upstream, now),
            (UpstreamOutcome::Full, _) => placer.mark_full(&upstream, now),
            (UpstreamOutcome::Failed, None) => placer.record_unreachable(&upstream, now),
            (UpstreamOutcome::Failed, Some(from)) => {
                placer.record_helper_failure(&id::Upstream::from(from.as_str()), &upstream, now);
            }
        }
    }
}

/// An empty message.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Empty {}

/// A dispatch that was sent.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Dispatch {
    /// Upstream that answers the request.
    #[prost(string, tag = "1")]
    pub(crate) first: String,
    /// Engines that prefill parts of the prompt.
    #[prost(string, repeated, tag = "2")]
    pub(crate) helpers: Vec<String>,
    /// Tokens of memory reserved on each of `helpers`; may be shorter than that list.
    #[prost(uint64, repeated, tag = "3")]
    pub(crate) held: Vec<u64>,
    /// Prompt length in tokens.
    #[prost(uint64, tag = "4")]
    pub(crate) prompt: u64,
    /// Target for the longest gap between events, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub(crate) gap_ms: u32,
    /// Milliseconds until the deadline when the dispatch was sent.
    #[prost(uint32, tag = "6")]
    pub(crate) left_ms: u32,
    /// Priority of the request; 0 is the most urgent.
    #[prost(uint32, tag = "7")]
    pub(crate) urgency: u32,
    /// Number of the customer, as [`placement::customer_number`].
    #[prost(fixed32, tag = "8")]
    pub(crate) customer: u32,
}

/// Decodes a span from milliseconds.
pub(crate) fn from_millis(millis: u32) -> clock::Span {
    clock::Span::from_millis(u64::from(millis))
}

/// Encodes a span in whole milliseconds, limited to `u32::MAX`.
pub(crate) fn to_millis(span: clock::Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Dispatch {
    /// Encodes `dispatch` at `now`.
    pub(crate) fn new(dispatch: &placement::Dispatch, now: clock::Moment) -> Dispatch {
        Dispatch {
            first: dispatch.primary.to_string(),
            helpers: dispatch.helpers.iter().map(ToString::to_string).collect(),
            held: dispatch.helper_reserves.clone(),
            prompt: dispatch.prompt_tokens,
            gap_ms: to_millis(dispatch.max_gap),
            left_ms: to_millis(dispatch.deadline.since(now)),
            urgency: dispatch.urgency,
            customer: dispatch.customer,
        }
    }

    /// Decodes the dispatch, received at `now`.
    pub(crate) fn dispatch(
        self,
        id: placement::DispatchId,
        now: clock::Moment,
    ) -> placement::Dispatch {
        placement::Dispatch {
            id,
            primary: id::Upstream::from(self.first),
            helpers: self.helpers.into_iter().map(id::Upstream::from).collect(),
            prompt_tokens: self.prompt,
            helper_reserves: self.held,
            max_gap: from_millis(self.gap_ms),
            deadline: now + from_millis(self.left_ms),
            urgency: self.urgency,
            customer: self.customer,
        }
    }
}

/// Maximum size in bytes of the items in one datagram, updates or lists of dispatches. The other
/// fields of the batch are added to it; the datagram then still fits into one packet on usual
/// links.
pub(crate) const MAX_ITEMS_BYTES: usize = 1_350;

/// Splits `items` into parts of at most [`MAX_ITEMS_BYTES`], one for each datagram; returns at
/// least one part. An item that is too large gets a part of its own.
pub(crate) fn pack<Item>(items: Vec<Item>) -> Vec<Vec<Item>>
where
    Item: Message,
{
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        // The item also needs a tag and its length.
        let length = item.encoded_len() + 4;
        if size + length > MAX_ITEMS_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 0;
        }
        size += length;
        part.push(item);
    }
    if !part.is_empty() || parts.is_empty() {
        parts.push(part);
    }
    parts
}

impl Batch {
    /// Encodes `updates` as datagrams, each with this batch's other fields. The updates of a
    /// datagram take at most [`MAX_ITEMS_BYTES`], unless a single one is larger. Without updates
    /// there is one datagram, which shows that the host is alive.
    pub(crate) fn datagrams(&self, updates: Vec<Update>) -> Vec<Vec<u8>> {
        let batch = |updates| Batch { words: updates, ..self.clone() };
        pack(updates).into_iter().map(|updates| batch(updates).encode_to_vec()).collect()
    }
}
