//! Parser for the events of an engine's stream. A token's text is never decoded.

use std::borrow;

use lagoonline::id;
use lagoonline::port::engine;
use ntex::http;
use ntex::util;
use serde_json::value::RawValue;

use lagoonline::lifecycle::stream;

use crate::turn;

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why a stream cannot be read any further.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The stream ended without an end event.
    #[error("cut before its end")]
    Truncated,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(String),
    /// No data arrived for longer than the silence limit.
    #[error("silent for too long")]
    Silent,
    /// An event cannot be parsed.
    #[error("not an event: {0}")]
    Malformed(String),
    /// A chunk is not the next one of this response.
    #[error("{0}")]
    Violation(#[from] stream::Violation),
    /// The engine aborted the attempt.
    #[error("the engine gave up: {0}")]
    Aborted(String),
}

/// An event of a stream.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A chunk, which is always a single token.
    Chunk {
        /// The attempt that the chunk belongs to.
        attempt: id::Attempt,
        /// Index of the chunk in the response.
        number: u64,
        /// The token's text as a JSON string, including the quotes.
        text: &'a RawValue,
    },
    /// The end of the response.
    End {
        /// The attempt that the event belongs to.
        attempt: id::Attempt,
        /// The index that the next chunk would have had.
        count: u64,
        /// Prompt tokens as counted by the engine.
        prompt_tokens: u64,
        /// Prompt tokens that were found in the prefix cache.
        cached_tokens: u64,
        /// The engine's load.
        load: Option<engine::LoadReport>,
    },
    /// The engine aborted the attempt.
    Error {
        /// Reason given by the engine.
        code: String,
    },
}

/// An event as it is sent. `a` is the attempt. A chunk has `n` (its index) and `t` (the text), the
/// end event has `end`, an abort has `error`.
#[derive(serde::Deserialize)]
struct Raw<'a> {
    a: &'a str,
    #[serde(default)]
    n: Option<u64>,
    #[serde(borrow, default)]
    t: Option<&'a RawValue>,
    #[serde(default)]
    end: bool,
    #[serde(default)]
    count: u64,
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
    #[serde(default)]
    load: Option<engine::LoadReport>,
    #[serde(borrow, default)]
    error: Option<borrow::Cow<'a, str>>,
}

/// An event stream that is being received.
#[derive(Debug)]
pub struct Events {
    payload: turn::Body,
    incomplete: util::BytesMut,
    load: Option<engine::LoadReport>,
}

impl Events {
    pub(crate) fn new(payload: http::Payload, load: Option<engine::LoadReport>) -> Events {
        Events { payload: turn::Body::new(payload), incomplete: util::BytesMut::new(), load }
    }

    /// Returns the load from the response head; `None` from the second call on.
    pub fn take_load(&mut self) -> Option<engine::LoadReport> {
        self.load.take()
    }

    /// Returns the next bytes that consist of complete events. Events that arrive in one read are
    /// returned together.
    ///
    /// # Errors
    ///
    /// The connection ended or failed, or an event is too long.
    pub async fn batch(&mut self) -> Result<util::Bytes, StreamError> {
        loop {
            let bytes = match self.payload.chunk().await {
                Some(Ok(bytes)) => bytes,
                Some(Err(error)) => return Err(StreamError::Connection(error.to_string())),
                None => return Err(StreamError::Truncated),
            };
            // An empty line may begin with the last byte before these.
            let searched = self.incomplete.len().saturating_sub(1);
            self.incomplete.extend_from_slice(&bytes);
            let end = self.incomplete[searched..].windows(2).rposition(|pair| pair == b"\n\n");
            if let Some(end) = end {
                return Ok(self.incomplete.split_to(searched + end + 2));
            }
            if self.incomplete.len() > MAX_EVENT_BYTES {
                return Err(StreamError::Malformed("too long".to_owned()));
            }
        }
    }
}

/// Parses the events of one batch.
///
/// ```
/// use lagoon_net::engine;
/// let batch = b"data: {\"a\":\"000000000000000000000000000000ab\",\"n\":0,\"t\":\"Tin\"}\n\n";
/// let events: Vec<_> = engine::events(batch).collect();
/// assert!(matches!(events[0], Ok(engine::Event::Chunk { number: 0, .. })));
/// ```
pub fn events(batch: &[u8]) -> impl Iterator<Item = Result<Event<'_>, StreamError>> {
    let lines = batch.split(|byte| *byte == b'\n');
    lines.filter_map(|line| line.strip_prefix(b"data: ")).map(parse)
}

/// Parses the JSON text of one event.
fn parse(line: &[u8]) -> Result<Event<'_>, StreamError> {
    let malformed = |error: serde_json::Error| StreamError::Malformed(error.to_string());
    let raw: Raw<'_> = serde_json::from_slice(line).map_err(malformed)?;
    if let Some(code) = raw.error {
        return Ok(Event::Error { code: code.into_owned() });
    }
    let attempt = raw.a.parse();
    let attempt = attempt
        .map_err(|error: id::ParseAttemptError| StreamError::Malformed(error.to_string()))?;
    if raw.end {
        return Ok(Event::End {
            attempt,
            count: raw.count,
            prompt_tokens: raw.prompt_tokens,
            cached_tokens: raw.cached_tokens,
            load: raw.load,
        });
    }
    match (raw.n, raw.t) {
        (Some(number), Some(text)) if text.get().starts_with('"') => {
            Ok(Event::Chunk { attempt, number, text })
        }
        _ => Err(StreamError::Malformed("neither a chunk nor an end mark".to_owned())),
    }
}
