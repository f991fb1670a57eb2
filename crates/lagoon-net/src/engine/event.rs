//! Events of an engine's stream, read in place: a token's text is never decoded on the way.

use std::borrow;

use lagoonline::id;
use lagoonline::port::engine;
use ntex::http;
use ntex::util;
use serde_json::value::RawValue;

use lagoonline::lifecycle::stream;

/// Longest event, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Why a stream cannot be read further.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Broken {
    /// It ended without an end mark.
    #[error("cut before its end")]
    Cut,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(String),
    /// Nothing came for longer than the decisions allow.
    #[error("silent for too long")]
    Silent,
    /// An event that is none.
    #[error("not an event: {0}")]
    Malformed(String),
    /// A chunk that is not this answer's next one.
    #[error("{0}")]
    Violation(#[from] stream::Violation),
    /// The engine gave up the attempt.
    #[error("the engine gave up: {0}")]
    GivenUp(String),
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A token.
    Chunk {
        /// The attempt it belongs to.
        attempt: id::Attempt,
        /// Its number.
        number: u64,
        /// Its text as a JSON text, quotes included.
        text: &'a RawValue,
    },
    /// The end mark.
    End {
        /// The attempt it belongs to.
        attempt: id::Attempt,
        /// The number that the next chunk would have had.
        count: u64,
        /// Prompt tokens by the engine's count.
        prompt_tokens: u64,
        /// Of these, found in the prefix cache.
        cached_tokens: u64,
        /// The engine's load.
        load: Option<engine::Load>,
    },
    /// The engine gave up.
    Error {
        /// Its word for why.
        code: String,
    },
}

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
    load: Option<engine::Load>,
    #[serde(borrow, default)]
    error: Option<borrow::Cow<'a, str>>,
}

/// A stream of events as it arrives.
#[derive(Debug)]
pub struct Events {
    payload: http::Payload,
    rest: util::Bytes,
    load: Option<engine::Load>,
}

impl Events {
    pub(crate) fn new(payload: http::Payload, load: Option<engine::Load>) -> Events {
        Events { payload, rest: util::Bytes::new(), load }
    }

    /// The load that came with the answer's head; once.
    pub fn take_load(&mut self) -> Option<engine::Load> {
        self.load.take()
    }

    /// The next bytes that hold whole events; what a read brought together stays together.
    ///
    /// # Errors
    ///
    /// The connection ended or failed, or an event is too long.
    pub async fn batch(&mut self) -> Result<util::Bytes, Broken> {
        loop {
            let chunk = match self.payload.recv().await {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) => return Err(Broken::Connection(error.to_string())),
                None => return Err(Broken::Cut),
            };
            let mut whole = self.join(chunk);
            if let Some(end) = whole.windows(2).rposition(|pair| pair == b"\n\n") {
                self.rest = whole.split_off(end + 2);
                return Ok(whole);
            }
            if whole.len() > EVENT_LIMIT {
                return Err(Broken::Malformed("too long".to_owned()));
            }
            self.rest = whole;
        }
    }

    /// Copies only when an event was split over two reads.
    fn join(&mut self, chunk: util::Bytes) -> util::Bytes {
        if self.rest.is_empty() {
            return chunk;
        }
        let mut joined = util::BytesMut::with_capacity(self.rest.len() + chunk.len());
        joined.extend_from_slice(&self.rest);
        joined.extend_from_slice(&chunk);
        self.rest = util::Bytes::new();
        joined.freeze()
    }
}

/// The events of one batch.
///
/// ```
/// use lagoon_net::engine;
/// let batch = b"data: {\"a\":\"000000000000000000000000000000ab\",\"n\":0,\"t\":\"Tin\"}\n\n";
/// let events: Vec<_> = engine::events(batch).collect();
/// assert!(matches!(events[0], Ok(engine::Event::Chunk { number: 0, .. })));
/// ```
pub fn events(batch: &[u8]) -> impl Iterator<Item = Result<Event<'_>, Broken>> {
    let lines = batch.split(|byte| *byte == b'\n');
    lines.filter_map(|line| line.strip_prefix(b"data: ")).map(parse)
}

fn parse(line: &[u8]) -> Result<Event<'_>, Broken> {
    let malformed = |error: serde_json::Error| Broken::Malformed(error.to_string());
    let raw: Raw<'_> = serde_json::from_slice(line).map_err(malformed)?;
    if let Some(code) = raw.error {
        return Ok(Event::Error { code: code.into_owned() });
    }
    let attempt = raw.a.parse();
    let attempt =
        attempt.map_err(|error: id::ParseAttemptError| Broken::Malformed(error.to_string()))?;
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
        _ => Err(Broken::Malformed("neither a chunk nor an end mark".to_owned())),
    }
}
