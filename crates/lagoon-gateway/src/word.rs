//! What entry hosts tell each other of the requests that they send: datagrams of prost messages.
//!
//! A word that is lost, late or doubled changes what a host believes of an engine's load, never
//! what a caller is told.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;
use prost::Message;

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
    #[prost(oneof = "What", tags = "3, 4, 5, 6")]
    pub(crate) what: Option<What>,
}

impl Word {
    /// What happened to the dispatch with this number to `service`.
    pub(crate) fn new(number: u64, service: &id::Service, what: What) -> Word {
        Word { number, service: service.to_string(), what: Some(what) }
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

fn millis(span: clock::Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Sent {
    /// What is told of `work` at `now`.
    pub(crate) fn new(work: &placement::Work, now: clock::Moment) -> Sent {
        Sent {
            first: work.first.to_string(),
            helpers: work.helpers.iter().map(ToString::to_string).collect(),
            held: work.held.clone(),
            prompt: work.prompt,
            gap_ms: millis(work.gap),
            left_ms: millis(work.until.since(now)),
        }
    }

    /// The work that was told of, heard at `now`.
    pub(crate) fn work(self, id: placement::WorkId, now: clock::Moment) -> placement::Work {
        placement::Work {
            id,
            first: id::Upstream::from(self.first),
            helpers: self.helpers.into_iter().map(id::Upstream::from).collect(),
            prompt: self.prompt,
            held: self.held,
            gap: clock::Span::from_millis(u64::from(self.gap_ms)),
            until: now + clock::Span::from_millis(u64::from(self.left_ms)),
        }
    }
}

/// Bytes of a datagram that links carry in one packet.
pub(crate) const DATAGRAM: usize = 1_350;

impl Batch {
    /// The datagrams that carry `words`, each within [`DATAGRAM`] where a word allows it; one where
    /// there are no words: it tells that the host is there.
    pub(crate) fn datagrams(
        host: u64,
        confirmation_age: Option<clock::Span>,
        words: Vec<Word>,
    ) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        let confirmed_ms = confirmation_age.map(millis);
        let mut batch = Batch { host, words: Vec::new(), confirmed_ms };
        let mut size = 0;
        for word in words {
            let length = word.encoded_len() + 4;
            if size + length > DATAGRAM && !batch.words.is_empty() {
                datagrams.push(batch.encode_to_vec());
                batch.words.clear();
                size = 0;
            }
            size += length;
            batch.words.push(word);
        }
        if !batch.words.is_empty() || datagrams.is_empty() {
            datagrams.push(batch.encode_to_vec());
        }
        datagrams
    }
}
