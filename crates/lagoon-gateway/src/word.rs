//! What entry hosts tell each other of the requests that they send: datagrams of prost messages.
//!
//! A word that is lost, late or doubled changes what a host believes of an engine's load, never
//! what a caller is told. Verdicts of the quarantine are the exception: they decide what is refused,
//! so hosts compare a checksum of them and tell each other what one lacks.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;
use prost::Message;

use crate::quarantine;
use crate::question;

/// A batch of words from one life of a host.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Batch {
    /// Number of that life.
    #[prost(fixed64, tag = "1")]
    pub(crate) host: u64,
    /// The words, in the order in which they were said.
    #[prost(message, repeated, tag = "2")]
    pub(crate) words: Vec<Word>,
    /// Milliseconds since the host's desired state was last known to be the newest; absent before
    /// the first.
    #[prost(uint32, optional, tag = "3")]
    pub(crate) confirmed_ms: Option<u32>,
    /// Who the host is, now and then.
    #[prost(message, optional, tag = "4")]
    pub(crate) beat: Option<Beat>,
    /// Questions where requests are to go.
    #[prost(message, repeated, tag = "5")]
    pub(crate) questions: Vec<question::Question>,
    /// Answers to such questions.
    #[prost(message, repeated, tag = "6")]
    pub(crate) answers: Vec<question::Answer>,
    /// Checksum of the verdicts that the host knows.
    #[prost(fixed64, tag = "7")]
    pub(crate) verdicts: u64,
}

/// A heartbeat: who the host is, and all that is under way for its callers.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Beat {
    /// The host's name.
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub(crate) zone: String,
    /// Part of a processor core that it has.
    #[prost(double, tag = "3")]
    pub(crate) cores: f64,
    /// What it has under way, or what the hosts of its zone have.
    #[prost(message, repeated, tag = "4")]
    pub(crate) under_way: Vec<UnderWay>,
    /// Whether it wants to be answered.
    #[prost(bool, tag = "5")]
    pub(crate) wants_answer: bool,
}

/// All dispatches that one life of a host has under way.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UnderWay {
    /// Number of that life.
    #[prost(fixed64, tag = "1")]
    pub(crate) host: u64,
    /// Their numbers.
    #[prost(uint64, repeated, tag = "2")]
    pub(crate) numbers: Vec<u64>,
}

/// One thing that happened to a dispatch.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Word {
    /// Number of the dispatch at its host.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Its service.
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    /// What happened.
    #[prost(oneof = "What", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub(crate) what: Option<What>,
    /// The life whose dispatch it is, where that is not the one that tells.
    #[prost(fixed64, optional, tag = "20")]
    pub(crate) host: Option<u64>,
}

impl Word {
    /// What happened to the dispatch with this number to `service`.
    pub(crate) fn new(number: u64, service: &id::Service, what: What) -> Word {
        Word { number, service: service.to_string(), what: Some(what), host: None }
    }

    /// What happened to a dispatch of any host.
    pub(crate) fn about(id: placement::DispatchId, service: &id::Service, what: What) -> Word {
        Word { host: Some(id.host), ..Word::new(id.number, service, what) }
    }
}

/// What happened to a dispatch.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum What {
    /// It was sent.
    #[prost(message, tag = "3")]
    Sent(Sent),
    /// Its first token came.
    #[prost(message, tag = "4")]
    First(Nothing),
    /// It ended.
    #[prost(message, tag = "5")]
    Ended(Nothing),
    /// No dispatch: an engine of the service said how fast it works.
    #[prost(message, tag = "6")]
    Reported(Reported),
    /// No dispatch: a request showed how an upstream of the service fares.
    #[prost(message, tag = "7")]
    Seen(Seen),
    /// No dispatch: an upstream crashed.
    #[prost(message, tag = "8")]
    Crashed(quarantine::Crashed),
    /// No dispatch: a suspect was answered whole.
    #[prost(message, tag = "9")]
    Cleared(quarantine::Cleared),
    /// No dispatch: a verdict on a request.
    #[prost(message, tag = "10")]
    Verdict(quarantine::Verdict),
}

/// How an upstream fared with a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Seen {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// What it did.
    #[prost(enumeration = "Manner", tag = "2")]
    pub(crate) manner: i32,
    /// The upstream that could not reach it, where that was not the host.
    #[prost(string, optional, tag = "3")]
    pub(crate) from: Option<String>,
}

/// What an upstream did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Manner {
    /// It answered.
    Answered = 0,
    /// It answered with an error of its own.
    Erred = 1,
    /// It could not be reached, or fell silent.
    Failed = 2,
    /// It had no memory to reserve.
    Full = 3,
}

/// What an engine said of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Reported {
    /// The engine.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// Times its published pace that it takes.
    #[prost(double, tag = "2")]
    pub(crate) slowness: f64,
}

impl Seen {
    /// What `upstream` did.
    pub(crate) fn new(upstream: &id::Upstream, manner: Manner) -> Seen {
        Seen { upstream: upstream.to_string(), manner: manner.into(), from: None }
    }

    /// The engine `from` could not reach `upstream`, which was to read a part of a prompt.
    pub(crate) fn unhelped(from: &id::Upstream, upstream: &id::Upstream) -> Seen {
        Seen { from: Some(from.to_string()), ..Seen::new(upstream, Manner::Failed) }
    }

    /// Lets `board` know.
    pub(crate) fn note(&self, board: &mut placement::Placer, now: clock::Moment) {
        let upstream = id::Upstream::from(self.upstream.as_str());
        match (self.manner(), &self.from) {
            (Manner::Answered, _) => board.record_success(&upstream, now),
            (Manner::Erred, _) => board.record_error(&upstream, now),
            (Manner::Full, _) => board.mark_full(&upstream, now),
            (Manner::Failed, None) => board.record_unreachable(&upstream, now),
            (Manner::Failed, Some(from)) => {
                board.record_helper_failure(&id::Upstream::from(from.as_str()), &upstream, now);
            }
        }
    }
}

/// No more to say.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Nothing {}

/// A dispatch as it was sent.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Sent {
    /// The upstream that answers.
    #[prost(string, tag = "1")]
    pub(crate) first: String,
    /// Engines that read parts of the prompt.
    #[prost(string, repeated, tag = "2")]
    pub(crate) helpers: Vec<String>,
    /// Tokens of memory reserved on the first helpers.
    #[prost(uint64, repeated, tag = "3")]
    pub(crate) held: Vec<u64>,
    /// Tokens of the prompt.
    #[prost(uint64, tag = "4")]
    pub(crate) prompt: u64,
    /// Longest pause between events that is in time, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub(crate) gap_ms: u32,
    /// Time left at sending, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub(crate) left_ms: u32,
}

/// The span of so many milliseconds in a word.
pub(crate) fn span(millis: u32) -> clock::Span {
    clock::Span::from_millis(u64::from(millis))
}

/// Whole milliseconds of `span`, as far as a word carries them.
pub(crate) fn millis(span: clock::Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Sent {
    /// What is told of `work` at `now`.
    pub(crate) fn new(work: &placement::Dispatch, now: clock::Moment) -> Sent {
        Sent {
            first: work.primary.to_string(),
            helpers: work.helpers.iter().map(ToString::to_string).collect(),
            held: work.helper_reserves.clone(),
            prompt: work.prompt_tokens,
            gap_ms: millis(work.max_gap),
            left_ms: millis(work.deadline.since(now)),
        }
    }

    /// The work that was told of, heard at `now`.
    pub(crate) fn work(self, id: placement::DispatchId, now: clock::Moment) -> placement::Dispatch {
        placement::Dispatch {
            id,
            primary: id::Upstream::from(self.first),
            helpers: self.helpers.into_iter().map(id::Upstream::from).collect(),
            prompt_tokens: self.prompt,
            helper_reserves: self.held,
            max_gap: span(self.gap_ms),
            deadline: now + span(self.left_ms),
        }
    }
}

/// Bytes of a datagram that links carry in one packet.
pub(crate) const DATAGRAM: usize = 1_350;

/// `items` in parts that each fit into a datagram, one part at least; an item that is larger by
/// itself stands alone.
pub(crate) fn pack<Item>(items: Vec<Item>) -> Vec<Vec<Item>>
where
    Item: Message,
{
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        let length = item.encoded_len() + 4;
        if size + length > DATAGRAM && !part.is_empty() {
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
    /// The datagrams that carry `words` beside what this batch holds, each within [`DATAGRAM`] where
    /// a word allows it; one where
    /// there are no words: it tells that the host is there.
    pub(crate) fn datagrams(&self, words: Vec<Word>) -> Vec<Vec<u8>> {
        let batch = |words| Batch { words, ..self.clone() };
        pack(words).into_iter().map(|words| batch(words).encode_to_vec()).collect()
    }
}
