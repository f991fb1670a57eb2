//! What entry hosts tell each other of the requests that they send: datagrams of prost messages.
//!
//! A word that is lost, late or doubled changes what a host believes of an engine's load, never
//! what a caller is told.

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
    #[prost(oneof = "What", tags = "3, 4, 5")]
    pub(crate) what: Option<What>,
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

/// Bytes of a datagram that links carry in one packet.
pub(crate) const DATAGRAM: usize = 1_350;

impl Batch {
    /// The datagrams that carry `words`, each within [`DATAGRAM`] where a word allows it.
    pub(crate) fn datagrams(host: u64, words: Vec<Word>) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        let mut batch = Batch { host, words: Vec::new() };
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
        if !batch.words.is_empty() {
            datagrams.push(batch.encode_to_vec());
        }
        datagrams
    }
}
