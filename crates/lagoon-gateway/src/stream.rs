//! Streaming of events to a caller: only complete events, and an end that shows whether the stream
//! is complete.
//!
//! An upstream may break off in the middle of an event. If another one continued the stream
//! naively, the caller would read half an event joined to the next; and a stream that broke off
//! could look like a complete one. So only complete events are forwarded, and a resumed answer
//! starts after the last event that was forwarded.
//!
//! The caller's body is in chunks, whatever the framing of its upstreams. A stream that was broken off
//! and cannot be resumed ends without its last chunk. A caller of HTTP/1.0, which has no chunks, gets
//! the stream with a length once it has ended.

use std::future;
use std::pin;
use std::task;

use futures_util::{FutureExt, StreamExt};
use lagoon_net::turn;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::event_stream;
use lagoonline::id;
use lagoonline::lifecycle::{attempts, completeness, quarantine};
use lagoonline::load::progress;
use lagoonline::outcome::Reason;
use lagoonline::routing;
use ntex::util;

use crate::attempt;
use crate::body;
use crate::conclude;
use crate::event;
use crate::exchange;
use crate::forward;
use crate::metrics;
use crate::place;
use crate::silence;

/// Maximum size of an event in bytes, as of an answer that is not streamed: an event is buffered
/// until it is complete.
const MAX_EVENT_BYTES: usize = forward::MAX_BUFFERED_BODY;
/// Size in bytes from which on an incomplete event is accounted for; a smaller one is covered by
/// what counts for each request.
const MIN_ACCOUNTED_EVENT: usize = 16 << 10;
/// Multiple of the route's gap target for which an upstream may be silent before another is tried.
const SILENT_GAPS: u32 = 4;
/// Minimum silence before another upstream is tried: a lost packet is retransmitted within it.
const MIN_SILENCE: clock::Span = clock::Span::from_millis(900);
/// Time that a stream may run beyond its deadline, so that one which is about to end can finish.
const MAX_OVERTIME: clock::Span = clock::Span::from_millis(150);

/// Starts a task that forwards the events of `open`, and returns the body that it feeds. `attempts`
/// are those of the request before.
pub(crate) fn start(
    admitted: forward::Admitted,
    open: forward::OpenAnswer,
    caller: forward::Caller,
    attempts: attempts::Attempts,
) -> body::Body {
    let account = admitted.request.account.clone();
    let (sender, body) = body::channel(account.clone());
    let body_sender = sender.clone();
    let forwarder = Forwarder::new(admitted, sender, attempts);
    drop(ntex::rt::spawn(async move {
        let guard = body::Guard::new(caller.io.as_ref());
        let disconnected = async {
            match &caller.io {
                Some(io) => tokio::select! {
                    () = io.on_disconnect() => {}
                    () = body_sender.closed() => {}
                },
                None => body_sender.closed().await,
            }
        };
        let io = caller.io.as_ref();
        match forwarder.run(open, disconnected, account.wait_for_cut()).await {
            End::Complete => {
                body_sender.finish(io).await;
                guard.disarm();
            }
            End::Broken => body::cut(io, &body_sender).await,
            End::TooSlow | End::CallerLeft => {}
        }
        drop(caller);
    }));
    body
}

/// Returns the whole stream that begins with `open`; `None` if it was broken off, or if it is larger
/// than the host can hold.
pub(crate) async fn collect(
    admitted: forward::Admitted,
    open: forward::OpenAnswer,
    caller: forward::Caller,
    attempts: attempts::Attempts,
) -> Option<util::BytesMut> {
    let account = admitted.request.account.clone();
    let (sender, mut body) = body::channel(account.clone());
    let forwarder = Forwarder::new(admitted, sender, attempts);
    let mut running = pin::pin!(forwarder.run(open, future::pending(), account.wait_for_cut()));
    let held = forward::Held::new(&account);
    let mut bytes = util::BytesMut::new();
    let mut add = |piece: util::Bytes| {
        bytes.extend_from_slice(&piece);
        (held.add(piece.len()) && bytes.len() <= forward::MAX_BUFFERED_BODY).then_some(())
    };
    let end = loop {
        tokio::select! {
            biased;
            piece = body.next() => add(piece?.ok()?)?,
            end = &mut running => break end,
        }
    };
    drop(caller);
    while let Some(piece) = body.next().now_or_never().flatten() {
        add(piece.ok()?)?;
    }
    (end == End::Complete).then_some(bytes)
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Complete,
    CallerLeft,
    /// The caller took nothing for so long that it was cut off to free memory.
    TooSlow,
    Broken,
}

/// Why the answer of one upstream did not complete the stream.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// The answer was broken off.
    #[error("{0}")]
    Broken(String),
    /// The upstream's bytes become no event, or too slowly; the connection is closed.
    #[error("{0}")]
    Violated(progress::Violation),
    /// The upstream has been silent for this long. Its connection is still open.
    #[error("silent for {0:?}")]
    Silent(clock::Span),
    /// The answer ended in order, without an end mark, and its upstream still runs.
    #[error("ended without an end mark")]
    Unconfirmed(completeness::Conclusion),
    /// As [`Failure::Unconfirmed`], but it is not known whether its upstream still runs.
    #[error("ended without an end mark, and its upstream cannot be asked")]
    Unproven,
    /// The caller closed its connection.
    #[error("the caller left")]
    CallerLeft,
    /// The caller did not take what was read ahead for it before the deadline.
    #[error("the caller reads too slowly")]
    TooSlow,
}

/// Forwards one stream to its caller, from one upstream after another.
struct Forwarder {
    admitted: forward::Admitted,
    sender: body::Sender,
    reader: event_stream::Reader,
    /// Bytes of an incomplete event that are accounted for.
    partial: usize,
    /// Number of the last event that the caller has.
    last_event: Option<u64>,
    /// Events forwarded so far.
    events: u64,
    /// The end of a stream that its upstream says is whole while another one is asked.
    unconfirmed: Option<Unconfirmed>,
    /// Attempts of the request, the current one included.
    attempts: attempts::Attempts,
    /// When the first event of the current upstream's answer arrived.
    begun: Option<clock::Moment>,
    /// Whether that answer went on for long enough to show that its prompt crashes no upstream.
    went_on: bool,
    /// Whether no other upstream took the stream when the current one was silent.
    waits_for_silent: bool,
    /// When the last event was forwarded.
    last_forwarded: clock::Moment,
    longest_pause: clock::Span,
    turn: turn::Turn,
}

/// An end in order without an end mark.
#[derive(Clone, Debug)]
struct Unconfirmed {
    upstream: id::Upstream,
    conclusion: completeness::Conclusion,
}

impl Forwarder {
    /// `attempts` are those before the one that has begun to answer.
    fn new(
        admitted: forward::Admitted,
        sender: body::Sender,
        mut attempts: attempts::Attempts,
    ) -> Forwarder {
        attempts.record(attempts::Kind::Run);
        Forwarder {
            last_event: admitted.request.head.last_event,
            admitted,
            sender,
            reader: event_stream::Reader::default(),
            partial: 0,
            events: 0,
            unconfirmed: None,
            attempts,
            begun: None,
            went_on: false,
            waits_for_silent: false,
            last_forwarded: clock::Moment::START,
            longest_pause: clock::Span::ZERO,
            turn: turn::Turn::default(),
        }
    }

    async fn run<Disconnected, Cut>(
        mut self,
        open: forward::OpenAnswer,
        disconnected: Disconnected,
        cut: Cut,
    ) -> End
    where
        Disconnected: Future<Output = ()>,
        Cut: Future<Output = ()>,
    {
        let mut disconnected = pin::pin!(disconnected);
        let end = tokio::select! {
            biased;
            end = self.forward_all(open) => end,
            () = &mut disconnected => End::CallerLeft,
            () = cut => End::TooSlow,
        };
        self.log_end(end);
        end
    }

    fn log_end(&self, end: End) {
        let (how, reason) = match end {
            End::Complete => ("whole", None),
            End::CallerLeft => ("caller_left", Some(Reason::CallerLeft)),
            End::TooSlow => ("too_slow", Some(Reason::SlowCaller)),
            End::Broken => ("broken", Some(Reason::UpstreamFailed)),
        };
        self.admitted.state.metrics.count_answer(self.admitted.service.as_str(), reason);
        event::Line::new("stream_ended")
            .text("request", &self.admitted.request.head.request_id)
            .text("how", how)
            .number("events", self.events)
            .number("upstreams", self.attempts.runs())
            .span("longest_pause_ms", self.longest_pause)
            .span("silent_ms", self.silent_for())
            .span("after_ms", self.since_arrival())
            .info();
    }

    /// Returns the time since the last event was forwarded, or since the request arrived if there
    /// was none.
    fn silent_for(&self) -> clock::Span {
        let last =
            if self.events == 0 { self.admitted.request.arrived } else { self.last_forwarded };
        self.admitted.state.clock.now().since(last)
    }

    fn since_arrival(&self) -> clock::Span {
        self.admitted.state.clock.now().since(self.admitted.request.arrived)
    }

    /// Forwards answers of one upstream after another until one is complete or the stream cannot be
    /// resumed.
    async fn forward_all(&mut self, mut open: forward::OpenAnswer) -> End {
        let mut avoid: Vec<id::Upstream> = Vec::new();
        loop {
            let upstream = open.upstream.clone();
            let framing = open.framing;
            let failure = match self.forward_answer(&mut open).await {
                Ok(conclusion) => return self.end_complete(&upstream, conclusion),
                Err(failure) => failure,
            };
            if matches!(failure, Failure::CallerLeft) {
                return End::CallerLeft;
            }
            if matches!(failure, Failure::TooSlow) {
                return End::TooSlow;
            }
            self.log_failure(&upstream, framing, &failure);
            if matches!(failure, Failure::Broken(_) | Failure::Silent(_)) {
                self.admitted.record_unresponsive(&upstream);
            }
            if let Failure::Unconfirmed(conclusion) = failure {
                let upstream = upstream.clone();
                self.unconfirmed = Some(Unconfirmed { upstream, conclusion });
            }
            if let Failure::Violated(violation) = failure {
                self.admitted.record_violation(&upstream, violation);
            }
            avoid.push(upstream);
            let is_open = matches!(failure, Failure::Silent(_));
            match self.continue_elsewhere(&mut avoid, failure).await {
                Some(next) => {
                    // The rest of an event that the next upstream sends from its beginning.
                    drop(self.reader.take_rest());
                    self.begun = None;
                    self.went_on = false;
                    self.waits_for_silent = false;
                    open = next;
                }
                None if self.unconfirmed.is_some() => return self.end_unconfirmed(),
                // The silent upstream may be sound, and nobody else takes the stream.
                None if is_open => self.waits_for_silent = true,
                None => return End::Broken,
            }
        }
    }

    /// Ends a stream whose last answer came from `upstream` and was not broken off.
    fn end_complete(&self, upstream: &id::Upstream, conclusion: completeness::Conclusion) -> End {
        if conclusion.is_outlived() {
            self.admitted.record_success(upstream);
            // An empty stream shows nothing of what its request does to an upstream.
            if self.events > 0 {
                self.admitted.clear();
            }
            if let Some(begun) = self.begun.filter(|_| !self.went_on) {
                self.admitted.record_begun(begun);
            }
        }
        End::Complete
    }

    /// Ends a stream whose end only its own upstream vouches for, unless another one has begun to
    /// send what follows.
    fn end_unconfirmed(&mut self) -> End {
        match self.unconfirmed.take() {
            Some(end) if self.reader.is_inside_event() => {
                self.admitted.record_failure(&end.upstream);
                End::Broken
            }
            Some(end) => self.end_complete(&end.upstream, end.conclusion),
            None => End::Broken,
        }
    }

    /// As [`Self::resume`], within the time for which a caller waits for the confirmation of an end.
    async fn continue_elsewhere(
        &mut self,
        avoid: &mut Vec<id::Upstream>,
        failure: Failure,
    ) -> Option<forward::OpenAnswer> {
        if self.unconfirmed.is_none() {
            return self.resume(avoid, failure).await;
        }
        let limit = self.silence_timeout();
        tokio::time::timeout(limit, self.resume(avoid, failure)).await.ok().flatten()
    }

    /// Whether another upstream may be asked for what follows an end that nothing confirms. It reads
    /// the prompt once more for a stream that is mostly whole.
    fn may_confirm(&self) -> bool {
        let routing::Kind::Stream { resumable, .. } = self.admitted.route.kind else {
            return false;
        };
        let may_run = resumable && self.attempts.runs_left() > 0;
        may_run && self.admitted.state.has_spare_retry(&self.admitted.service)
    }

    fn log_failure(
        &self,
        upstream: &id::Upstream,
        framing: completeness::Framing,
        failure: &Failure,
    ) {
        event::Line::new("stream_broke")
            .text("request", &self.admitted.request.head.request_id)
            .text("upstream", upstream)
            .text("error", failure)
            .text("framing", framing.as_str())
            .number("events", self.events)
            .number("bytes_left", self.reader.buffered())
            .span("after_ms", self.since_arrival())
            .text("fingerprint", self.admitted.fingerprint())
            .text("customer", self.admitted.customer_name())
            .text("parts", self.admitted.listed_parts())
            .warn();
    }

    /// Resumes the stream after its last event on another upstream, if that is allowed.
    async fn resume(
        &mut self,
        avoid: &mut Vec<id::Upstream>,
        failure: Failure,
    ) -> Option<forward::OpenAnswer> {
        let routing::Kind::Stream { resumable: true, .. } = self.admitted.route.kind else {
            return None;
        };
        let mut failed = attempt::Failure::Lost(failure.to_string());
        while self.admitted.may_retry(&self.attempts, &failed) {
            let allocation = match self.admitted.allocate(avoid, true).await {
                Ok(allocation) => allocation,
                Err(place::Refusal::NoRetry) => {
                    self.admitted.record_retry_refusal(metrics::RetryRefusal::Budget);
                    return None;
                }
                Err(place::Refusal::Fault(fault)) => {
                    event::Line::new("stream_not_resumed")
                        .text("request", &self.admitted.request.head.request_id)
                        .text("detail", &fault)
                        .warn();
                    return None;
                }
            };
            let upstream = allocation.placement.primary.upstream.clone();
            let checked =
                match self.admitted.attempt(allocation, self.last_event, &self.attempts).await {
                    Ok(open) => self.admitted.check_answer(open, &self.attempts).await,
                    Err(failed) => Err(failed),
                };
            failed = match checked {
                Ok(forward::CheckedAnswer::Stream { open, .. }) => {
                    self.attempts.record(attempts::Kind::Run);
                    return Some(*open);
                }
                Ok(forward::CheckedAnswer::Complete { status, .. }) => {
                    attempt::Failure::Lost(format!("{upstream}: answered with status {status}"))
                }
                Err(failed) => failed,
            };
            if let Some(kind) = failed.kind() {
                self.attempts.record(kind);
            }
            self.admitted.log_failure(&upstream, &failed);
            if !failed.is_withheld() {
                avoid.push(failed.at_fault().unwrap_or(&upstream).clone());
            }
        }
        None
    }

    /// Reports that the answer of `open` was broken off after `events` events.
    fn record_broken_answer(&self, open: &forward::OpenAnswer, events: u64) {
        let span = self.admitted.state.clock.now().since(open.head_at);
        self.admitted.record_broken_connection(
            &open.upstream,
            quarantine::Progress::Answering { span, events },
        );
    }

    /// Forwards one answer to its end.
    async fn forward_answer(
        &mut self,
        open: &mut forward::OpenAnswer,
    ) -> Result<completeness::Conclusion, Failure> {
        let mut last_activity = self.admitted.state.clock.now();
        let mut watch = progress::Stream::new(last_activity);
        let events_before = self.events;
        let mut bytes = 0;
        loop {
            let now = self.admitted.state.clock.now();
            let left = (self.admitted.deadline + MAX_OVERTIME).since(now);
            if left.is_zero() {
                return Err(Failure::Broken("deadline passed".to_owned()));
            }
            let chunk = open.exchange.chunk(open.answer.body_mut());
            let chunk = match tokio::time::timeout(silence::CHECK_INTERVAL.min(left), chunk).await {
                Ok(chunk) => chunk.map_err(|failure| {
                    let broken = completeness::Completeness::Broken;
                    self.admitted.state.metrics.count_answer_end(open.framing, broken);
                    if let exchange::Failure::Violated(violation) = failure {
                        return Failure::Violated(violation);
                    }
                    self.record_broken_answer(open, self.events - events_before);
                    Failure::Broken(failure.to_string())
                })?,
                Err(_) if left <= silence::CHECK_INTERVAL => {
                    return Err(Failure::Broken("deadline passed".to_owned()));
                }
                Err(_) => {
                    let silent = self.admitted.state.clock.now().since(last_activity);
                    if self.should_abandon(&open.upstream, silent) {
                        return Err(Failure::Silent(silent));
                    }
                    continue;
                }
            };
            last_activity = self.admitted.state.clock.now();
            self.admitted.record_activity(&open.upstream);
            open.in_flight.keep_reservations();
            let Some(chunk) = chunk else {
                let events = self.events - events_before;
                return self.end_answer(open, bytes, events).await;
            };
            bytes += chunk.len();
            self.reader.push(&chunk);
            if self.forward_events().await? {
                watch.complete_event(last_activity);
            } else {
                watch
                    .receive(chunk.len(), self.reader.rest(), last_activity)
                    .map_err(Failure::Violated)?;
            }
            self.account_partial()?;
        }
    }

    /// Accounts for an incomplete event if it is large.
    fn account_partial(&mut self) -> Result<(), Failure> {
        let buffered = self.reader.buffered();
        let partial = if buffered >= MIN_ACCOUNTED_EVENT { buffered } else { 0 };
        let account = &self.admitted.request.account;
        let is_held = if partial > self.partial {
            account.keep(partial - self.partial)
        } else {
            if partial < self.partial {
                account.release(self.partial - partial);
            }
            true
        };
        self.partial = partial;
        is_held.then_some(()).ok_or_else(|| Failure::Broken("no memory for an event".to_owned()))
    }

    /// Ends the answer of `open`, whose body of `bytes` bytes and `events` events has ended in order.
    async fn end_answer(
        &mut self,
        open: &forward::OpenAnswer,
        bytes: usize,
        events: u64,
    ) -> Result<completeness::Conclusion, Failure> {
        let content = if self.reader.is_inside_event() {
            completeness::Content::Cut
        } else {
            completeness::Content::Silent
        };
        let received = conclude::Received { bytes, events, bytes_left: self.reader.buffered() };
        let conclusion = self.admitted.conclude(open, content, received).await;
        if conclusion.completeness == completeness::Completeness::Broken {
            self.record_broken_answer(open, events);
            let how = if conclusion.process.is_some() { "its process" } else { "inside an event" };
            return Err(Failure::Broken(format!("ended early: {how}")));
        }
        match conclusion.next() {
            completeness::Next::Finish => self.forward_rest().await.map(|()| conclusion),
            completeness::Next::Confirm if !self.may_confirm() => {
                self.forward_rest().await.map(|()| conclusion)
            }
            completeness::Next::Confirm => Err(Failure::Unconfirmed(conclusion)),
            completeness::Next::Resume => Err(Failure::Unproven),
        }
    }

    /// Whether to abandon an upstream that has been silent for `silent`. One that may merely be
    /// busy gets twice the timeout.
    fn should_abandon(&self, upstream: &id::Upstream, silent: clock::Span) -> bool {
        let timeout = self.silence_timeout();
        if self.unconfirmed.is_some() {
            return silent >= timeout;
        }
        // The last upstream that may be tried is not abandoned: it may merely be busy.
        let may_move = !self.waits_for_silent
            && self.admitted.route.kind.may_repeat()
            && self.attempts.runs_left() > 0;
        if !may_move || silent < MIN_SILENCE.min(timeout) {
            return false;
        }
        if self.admitted.is_unresponsive(upstream) {
            return true;
        }
        let may_be_busy = !self.admitted.has_retry_budget() || self.admitted.is_alive(upstream);
        silent >= timeout * 2 || silent >= timeout && !may_be_busy
    }

    /// Returns how long an upstream may be silent before another is tried, unless it may merely be
    /// busy.
    fn silence_timeout(&self) -> clock::Span {
        let routing::Kind::Stream { max_gap, .. } = self.admitted.route.kind else {
            return clock::Span::MAX;
        };
        (max_gap * SILENT_GAPS).max(MIN_SILENCE)
    }

    /// Forwards each complete event in the buffer. Returns whether one of them was more than a
    /// comment.
    async fn forward_events(&mut self) -> Result<bool, Failure> {
        let mut has_content = false;
        while let Some(event) = self.reader.next_event() {
            self.turn.count().await;
            if let (Some(number), Some(last)) = (event.number, self.last_event)
                && number <= last
            {
                // The caller has this event already; an upstream that resumes a stream may repeat
                // its start.
                continue;
            }
            self.last_event = event.number.or(self.last_event);
            has_content |= !event.is_comment;
            if !event.is_comment
                && let Some(end) = self.unconfirmed.take()
            {
                // The upstream ended its answer early.
                self.admitted.record_failure(&end.upstream);
            }
            self.forward(util::Bytes::copy_from_slice(&event.bytes)).await?;
            if self.events == 0 {
                let tokens = self.admitted.request.head.prompt_tokens.unwrap_or(0);
                self.admitted.state.metrics.record_first_event(tokens, self.since_arrival());
                self.log_first();
            }
            self.events += 1;
            self.record_pause();
            self.record_progress();
        }
        if self.reader.buffered() > MAX_EVENT_BYTES {
            return Err(Failure::Violated(progress::Violation::Event));
        }
        Ok(has_content)
    }

    /// Records once that the answer has gone on.
    fn record_progress(&mut self) {
        let now = self.admitted.state.clock.now();
        let begun = *self.begun.get_or_insert(now);
        let is_long = now.since(begun) > quarantine::Settings::default().start_window;
        if is_long && !self.went_on {
            self.went_on = true;
            self.admitted.record_begun(begun);
        }
    }

    /// Updates the longest pause between two events.
    fn record_pause(&mut self) {
        let now = self.admitted.state.clock.now();
        if self.events > 1 {
            self.longest_pause = self.longest_pause.max(now.since(self.last_forwarded));
        }
        self.last_forwarded = now;
    }

    fn log_first(&self) {
        event::Line::new("first_event")
            .text("request", &self.admitted.request.head.request_id)
            .span("after_ms", self.since_arrival())
            .info();
    }

    /// Forwards what follows the last event, such as a comment.
    async fn forward_rest(&mut self) -> Result<(), Failure> {
        let rest = self.reader.take_rest();
        if rest.is_empty() {
            return Ok(());
        }
        self.forward(util::Bytes::copy_from_slice(&rest)).await
    }

    async fn forward(&mut self, bytes: util::Bytes) -> Result<(), Failure> {
        let left = (self.admitted.deadline + MAX_OVERTIME).since(self.admitted.state.clock.now());
        let mut sending = pin::pin!(self.sender.send(bytes));
        // The timer is only set if the caller reads too slowly.
        let sent = match future::poll_fn(|context| {
            task::Poll::Ready(sending.as_mut().poll(context))
        })
        .await
        {
            task::Poll::Ready(sent) => sent,
            task::Poll::Pending => {
                let sent = tokio::time::timeout(left, sending).await;
                sent.map_err(|_| Failure::TooSlow)?
            }
        };
        sent.map_err(|_| Failure::CallerLeft)
    }
}
