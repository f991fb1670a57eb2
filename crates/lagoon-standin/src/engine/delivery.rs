//! Response body of one reader of a stream, with the injected delivery faults.

use std::fmt::Write;
use std::sync;
use std::time;

use lagoonline::id;
use ntex::util;
use serde_json::json;
use tokio::sync::watch;

use super::state;
use crate::answer;
use crate::transport;

/// Maximum number of chunks in one part of the body.
const MAX_CHUNKS_PER_PART: u64 = 64;

/// One reader of a stream and its position in it.
#[derive(Debug)]
pub(crate) struct Delivery {
    engine: sync::Arc<super::Engine>,
    attempt: id::Attempt,
    zone: String,
    progress: watch::Receiver<state::Progress>,
    prompt_hash: u64,
    prompt_tokens: u64,
    /// Number of the next chunk to send.
    next: u64,
    /// Number of chunks sent to this reader.
    sent: u64,
    end_sent: bool,
    /// After the error event, the connection is closed instead of ending the body normally.
    error_sent: bool,
}

impl Delivery {
    /// Subscribes to a stream from chunk `from`. Returns `None` when the stream does not exist.
    pub(crate) fn new(
        engine: sync::Arc<super::Engine>,
        attempt: id::Attempt,
        zone: String,
        from: Option<u64>,
    ) -> Option<Self> {
        let state = engine.lock();
        let stream = state.streams.get(&attempt)?;
        let progress = stream.progress.subscribe();
        let (prompt_hash, prompt_tokens) = (stream.prompt_hash, stream.prompt_tokens);
        let next = from.unwrap_or(0).max(stream.first_chunk);
        drop(state);
        let (sent, end_sent, error_sent) = (0, false, false);
        Some(Delivery {
            engine,
            attempt,
            zone,
            progress,
            prompt_hash,
            prompt_tokens,
            next,
            sent,
            end_sent,
            error_sent,
        })
    }

    /// Returns the next part of the response body, or `None` after the end event.
    ///
    /// Waits while the reader's zone is cut off. An error closes the connection.
    pub(crate) async fn next_part(&mut self) -> Option<Result<util::Bytes, transport::Closed>> {
        loop {
            if self.end_sent {
                self.engine.lock().record_delivered(self.attempt, time::Instant::now());
                return None;
            }
            let faults = self.engine.faults();
            if faults.down || (faults.cut_after_chunks > 0 && self.sent >= faults.cut_after_chunks)
            {
                return Some(Err(transport::Closed));
            }
            if faults.cut.contains(&self.zone) {
                tokio::time::sleep(transport::CUT_POLL_INTERVAL).await;
                continue;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next < progress.next {
                return Some(Ok(self.next_chunks(progress.next, &faults)));
            }
            if let Some(end) = progress.end {
                return Some(self.end_event(end));
            }
            if self.progress.changed().await.is_err() {
                return Some(Err(transport::Closed));
            }
        }
    }

    fn next_chunks(&mut self, to: u64, faults: &super::Faults) -> util::Bytes {
        let mut to = to.min(self.next + MAX_CHUNKS_PER_PART);
        if faults.cut_after_chunks > 0 {
            to = to.min(self.next + faults.cut_after_chunks - self.sent);
        }
        let mut text = String::new();
        for number in self.next..to {
            let is_crossed = faults.cross_chunks > 0 && number == faults.cross_chunks;
            // The inverted id is certainly that of another attempt.
            let attempt = if is_crossed { id::Attempt(!self.attempt.0) } else { self.attempt };
            let is_repeated = faults.repeat_chunks > 0 && number == faults.repeat_chunks;
            for _ in 0..=u8::from(is_repeated) {
                self.write_chunk(&mut text, attempt, number);
            }
        }
        self.sent += to - self.next;
        self.next = to;
        util::Bytes::from(text)
    }

    fn write_chunk(&self, text: &mut String, attempt: id::Attempt, number: u64) {
        let chunk = answer::chunk(self.prompt_hash, number);
        // The text of a chunk needs no JSON escaping, and writing to a `String` cannot fail.
        let _ = write!(text, "data: {{\"a\":\"{attempt}\",\"n\":{number},\"t\":\"{chunk}\"}}\n\n");
    }

    fn end_event(&mut self, end: state::End) -> Result<util::Bytes, transport::Closed> {
        let attempt = self.attempt.to_string();
        let event = match end {
            state::End::Done => {
                self.end_sent = true;
                let state = self.engine.lock();
                let cached = state.streams.get(&self.attempt).map_or(0, |s| s.cached_tokens);
                json!({
                    "a": attempt, "end": true, "count": self.next, "cached_tokens": cached,
                    "prompt_tokens": self.prompt_tokens, "load": state.load_report(),
                })
            }
            state::End::Cancelled | state::End::Expired | state::End::Lost => {
                if self.error_sent {
                    return Err(transport::Closed);
                }
                self.error_sent = true;
                json!({"a": attempt, "error": end.as_str()})
            }
        };
        Ok(util::Bytes::from(format!("data: {event}\n\n")))
    }
}
