//! Questions of hosts to the one that schedules for their zone, and its answers: datagrams of prost
//! messages. One that is lost is made up for by the next host in order, or by the asking host's own
//! choice.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;

use crate::word;

/// Where a request is to go.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Question {
    /// Number of the dispatch at the asking host.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Its service.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "3")]
    pub(crate) prompt: u64,
    /// Most tokens of the answer.
    #[prost(uint64, tag = "4")]
    pub(crate) answer: u64,
    /// Milliseconds until its first event would be late.
    #[prost(uint32, tag = "5")]
    pub(crate) target_ms: u32,
    /// Longest pause between events that is in time, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub(crate) gap_ms: u32,
    /// Milliseconds that it has waited.
    #[prost(uint32, tag = "7")]
    pub(crate) waited_ms: u32,
    /// Milliseconds until it must be over.
    #[prost(uint32, tag = "8")]
    pub(crate) left_ms: u32,
    /// Upstreams that failed it.
    #[prost(string, repeated, tag = "9")]
    pub(crate) avoid: Vec<String>,
    /// Number by which the asking host names it while it waits.
    #[prost(uint64, tag = "10")]
    pub(crate) turn: u64,
}

impl Question {
    /// What is asked for the dispatch `number` to `service`, which must be over in `left`.
    pub(crate) fn new(
        number: u64,
        service: &id::Service,
        demand: &placement::Request<'_>,
        left: clock::Span,
    ) -> Question {
        Question {
            number,
            service: service.to_string(),
            prompt: demand.prompt_tokens,
            answer: demand.answer_tokens,
            target_ms: word::millis(demand.target),
            gap_ms: word::millis(demand.max_gap),
            waited_ms: word::millis(demand.waited),
            left_ms: word::millis(left),
            avoid: demand.avoid.iter().map(ToString::to_string).collect(),
            turn: demand.waiter.number,
        }
    }

    /// The demand of the life `asking` at a host of the zone `zone`.
    pub(crate) fn demand<'a>(
        &self,
        asking: u64,
        zone: &'a id::Zone,
        avoid: &'a [id::Upstream],
        draw: u64,
    ) -> placement::Request<'a> {
        placement::Request {
            prompt_tokens: self.prompt,
            answer_tokens: self.answer,
            target: word::span(self.target_ms),
            max_gap: word::span(self.gap_ms),
            waited: word::span(self.waited_ms),
            waiter: placement::DispatchId { host: asking, number: self.turn },
            zone,
            avoid,
            random: draw,
        }
    }

    /// What is under way once it is placed as `placed` at `now`.
    pub(crate) fn work(
        &self,
        id: placement::DispatchId,
        placed: &placement::Placement,
        now: clock::Moment,
    ) -> placement::Dispatch {
        let left = word::span(self.left_ms);
        placement::Dispatch::new(id, placed, self.prompt, word::span(self.gap_ms), now + left)
    }
}

/// The answer to a question.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Answer {
    /// Number of the dispatch at the asking host.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// What was decided; absent where the host that was asked does not decide now.
    #[prost(oneof = "Decision", tags = "2, 3")]
    pub(crate) decision: Option<Decision>,
}

/// What was decided.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Decision {
    /// Where it goes.
    #[prost(message, tag = "2")]
    Placed(Placed),
    /// It cannot be placed now.
    #[prost(message, tag = "3")]
    Refused(Refused),
}

/// Where a request goes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Placed {
    /// The upstream that gets it.
    #[prost(string, tag = "1")]
    pub(crate) first: String,
    /// Tokens of memory to reserve on it.
    #[prost(uint64, tag = "2")]
    pub(crate) reserve: u64,
    /// The engines that read parts of its prompt.
    #[prost(message, repeated, tag = "3")]
    pub(crate) helpers: Vec<Helper>,
    /// When its first token is expected, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub(crate) expected_ms: u32,
    /// What was believed of the upstream.
    #[prost(message, optional, tag = "5")]
    pub(crate) belief: Option<Belief>,
}

/// An engine that reads a part of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Helper {
    /// The engine.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// Tokens of memory to reserve on it.
    #[prost(uint64, tag = "2")]
    pub(crate) reserve: u64,
}

/// What was believed of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Belief {
    /// Milliseconds that it has to read.
    #[prost(double, tag = "1")]
    pub(crate) reading_ms: f64,
    /// Answers that it writes.
    #[prost(uint32, tag = "2")]
    pub(crate) writers: u32,
    /// Places that are taken.
    #[prost(uint32, tag = "3")]
    pub(crate) places: u32,
    /// Milliseconds since something last came of it.
    #[prost(uint32, tag = "4")]
    pub(crate) heard_ms: u32,
}

/// Why a request cannot be placed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Refused {
    /// The reason.
    #[prost(enumeration = "Reason", tag = "1")]
    pub(crate) reason: i32,
    /// Milliseconds after which engines are expected to have what they lack, where they are full.
    #[prost(uint32, tag = "2")]
    pub(crate) span_ms: u32,
    /// What they lack, where it should wait or they are full.
    #[prost(enumeration = "Shortage", tag = "3")]
    pub(crate) shortage: i32,
}

/// What engines lack.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Shortage {
    /// A place for an answer.
    Place = 0,
    /// Memory for a prompt.
    Memory = 1,
    /// Time to read a prompt.
    Reading = 2,
    /// Pauses that answers under way can bear.
    Pause = 3,
}

impl From<placement::Shortage> for Shortage {
    fn from(shortage: placement::Shortage) -> Shortage {
        match shortage {
            placement::Shortage::Slot => Shortage::Place,
            placement::Shortage::Memory => Shortage::Memory,
            placement::Shortage::Prefill => Shortage::Reading,
            placement::Shortage::Gap => Shortage::Pause,
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
        }
    }
}

/// Why a request cannot be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Reason {
    /// No upstream may be asked.
    NoUpstream = 0,
    /// The prompt is too long for all engines.
    TooLong = 1,
    /// It should wait a moment.
    Busy = 2,
    /// It would come too late.
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
            placement::Refusal::Busy(shortage) => lacking(Reason::Busy, shortage),
            placement::Refusal::Full(shortage, span) => {
                Refused { span_ms: word::millis(span), ..lacking(Reason::Full, shortage) }
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
            Reason::Busy => placement::Refusal::Busy(shortage),
            Reason::Full => placement::Refusal::Full(shortage, word::span(refused.span_ms)),
        }
    }
}

impl From<&placement::Placement> for Placed {
    fn from(placement: &placement::Placement) -> Placed {
        let helper = |helper: &placement::Helper| Helper {
            upstream: helper.entry.upstream.to_string(),
            reserve: helper.reserve,
        };
        let belief = &placement.estimate;
        Placed {
            first: placement.primary.upstream.to_string(),
            reserve: placement.reserve,
            helpers: placement.helpers.iter().map(helper).collect(),
            expected_ms: word::millis(placement.expected),
            belief: Some(Belief {
                reading_ms: belief.prefill_ms,
                writers: belief.decoding,
                places: u32::try_from(belief.used_slots).unwrap_or(u32::MAX),
                heard_ms: word::millis(belief.silence),
            }),
        }
    }
}

impl Placed {
    /// The placement, by what `board` knows of the upstreams; `None` where it does not know one or
    /// knows that one is leaving: the list of the host that decided differs from this host's.
    pub(crate) fn placement(&self, board: &placement::Placer) -> Option<placement::Placement> {
        let entry = |name: &str| board.entry(name).filter(|entry| !entry.leaving).cloned();
        let helper = |helper: &Helper| {
            let entry = entry(&helper.upstream)?;
            Some(placement::Helper { entry, reserve: helper.reserve })
        };
        let belief = self.belief.as_ref().map(|belief| placement::Estimate {
            prefill_ms: belief.reading_ms,
            decoding: belief.writers,
            used_slots: belief.places as usize,
            silence: word::span(belief.heard_ms),
        });
        Some(placement::Placement {
            primary: entry(&self.first)?,
            reserve: self.reserve,
            helpers: self.helpers.iter().map(helper).collect::<Option<_>>()?,
            expected: word::span(self.expected_ms),
            estimate: belief.unwrap_or_default(),
            runner_up: None,
        })
    }
}
