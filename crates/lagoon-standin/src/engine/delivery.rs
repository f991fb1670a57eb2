//! Sends one stream's chunks to one reader, with the faults that an engine may show there.

use std::fmt::Write;
use std::sync;
use std::time;

use lagoonline::id;
use ntex::util;
use serde_json::json;
use tokio::sync::watch;

use super::state;
use crate::answer;
use crate::port;

/// Chunks written at once.
const BURST: u64 = 64;

/// One reader of one stream.
#[derive(Debug)]
pub(crate) struct Delivery {
    engine: sync::Arc<super::Engine>,
    attempt: id::Attempt,
    zone: String,
    progress: watch::Receiver<state::Progress>,
    prompt_hash: u64,
    prompt_tokens: u64,
    next: u64,
    sent: u64,
    end_sent: bool,
    error_sent: bool,
}

impl Delivery {
    /// A reader from chunk `from` on; `None` when there is no such stream.
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
        let next = from.unwrap_or(0).max(stream.first);
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

    /// The next piece of the answer's body; `None` after the end mark.
    pub(crate) async fn piece(&mut self) -> Option<Result<util::Bytes, port::Gone>> {
        loop {
            if self.end_sent {
                self.engine.lock().delivered(self.attempt, time::Instant::now());
                return None;
            }
            let faults = self.engine.faults();
            if faults.down || (faults.cut_after_chunks > 0 && self.sent >= faults.cut_after_chunks)
            {
                return Some(Err(port::Gone));
            }
            if faults.cut.contains(&self.zone) {
                tokio::time::sleep(port::CUT_LOOK).await;
                continue;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next < progress.next {
                return Some(Ok(self.chunks(progress.next, &faults)));
            }
            if let Some(end) = progress.end {
                return Some(self.end(end));
            }
            if self.progress.changed().await.is_err() {
                return Some(Err(port::Gone));
            }
        }
    }

    fn chunks(&mut self, to: u64, faults: &super::Faults) -> util::Bytes {
        let mut to = to.min(self.next + BURST);
        if faults.cut_after_chunks > 0 {
            to = to.min(self.next + faults.cut_after_chunks - self.sent);
        }
        let mut text = String::new();
        for number in self.next..to {
            let crossed = faults.cross_chunks > 0 && number == faults.cross_chunks;
            let named = if crossed { id::Attempt(!self.attempt.0) } else { self.attempt };
            let repeated = faults.repeat_chunks > 0 && number == faults.repeat_chunks;
            for _ in 0..=u8::from(repeated) {
                self.write(&mut text, named, number);
            }
        }
        self.sent += to - self.next;
        self.next = to;
        util::Bytes::from(text)
    }

    fn write(&self, text: &mut String, named: id::Attempt, number: u64) {
        let chunk = answer::chunk(self.prompt_hash, number);
        // The chunk's text needs no JSON escapes; writing to a String cannot fail.
        let _ = write!(text, "data: {{\"a\":\"{named}\",\"n\":{number},\"t\":\"{chunk}\"}}\n\n");
    }

    fn end(&mut self, end: state::End) -> Result<util::Bytes, port::Gone> {
        let attempt = self.attempt.to_string();
        let event = match end {
            state::End::Done => {
                self.end_sent = true;
                let state = self.engine.lock();
                let cached = state.streams.get(&self.attempt).map_or(0, |s| s.cached_tokens);
                json!({
                    "a": attempt, "end": true, "count": self.next, "cached_tokens": cached,
                    "prompt_tokens": self.prompt_tokens, "load": state.load(),
                })
            }
            state::End::Cancelled | state::End::Expired | state::End::Lost => {
                if self.error_sent {
                    return Err(port::Gone);
                }
                self.error_sent = true;
                json!({"a": attempt, "error": end.as_str()})
            }
        };
        Ok(util::Bytes::from(format!("data: {event}\n\n")))
    }
}
