//! Streams a response to its caller with bounded buffers and an explicit end.
//!
//! Guards against a broken stream that looks complete, and against a slow caller that makes this
//! host buffer without limit. A task fills a bounded channel; while the channel is full, the
//! engine's connection is not read. The end of the stream is stored outside the channel, so that it
//! reaches the caller even when the channel is full. If the task ends without storing one, as after
//! a panic, the connection is cut. Only [`StreamEnd::Complete`] ends the body normally.

use std::cell;
use std::pin;
use std::rc;
use std::task;

use futures_util::Stream;
use lagoonline::clock;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::io;
use ntex::util;
use tokio::sync as async_sync;

use super::fault;
use super::generation;
use super::interrupt;
use super::linger;
use super::render;
use super::state;

#[derive(Debug)]
enum StreamEnd {
    /// The stream has not ended, or its task ended without storing an end, as after a panic.
    Unset,
    /// The response is complete.
    Complete,
    /// The response failed; holds the error event that is sent last.
    Failed(util::Bytes),
}

type SharedEnd = rc::Rc<cell::RefCell<StreamEnd>>;

/// Body of a streamed response.
#[derive(Debug)]
pub(crate) struct BodyStream {
    batches: async_sync::mpsc::Receiver<util::Bytes>,
    ending: SharedEnd,
    _active: rc::Rc<state::ActiveGuard>,
    _guard: linger::Guard,
}

impl Stream for BodyStream {
    type Item = Result<util::Bytes, std::io::Error>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        match task::ready!(self.batches.poll_recv(context)) {
            Some(batch) => task::Poll::Ready(Some(Ok(batch))),
            None => task::Poll::Ready(self.end()),
        }
    }
}

impl BodyStream {
    /// Returns the last item of the body, by how the stream ended.
    fn end(&self) -> Option<Result<util::Bytes, std::io::Error>> {
        match self.ending.replace(StreamEnd::Complete) {
            StreamEnd::Complete => None,
            StreamEnd::Failed(event) => Some(Ok(event)),
            StreamEnd::Unset => {
                Some(Err(std::io::Error::other("the response task ended without storing an end")))
            }
        }
    }
}

/// Starts a task that sends the remaining tokens of `generation` to the returned body.
/// `outcome_event` adds an `outcome` event before `[DONE]`, for callers that cannot read it from
/// the head.
pub(crate) fn start(
    state: std::sync::Arc<state::State>,
    generation: generation::Generation,
    writer: render::Writer,
    active: state::ActiveGuard,
    outcome_event: bool,
    io: Option<&io::IoRef>,
) -> BodyStream {
    let active = rc::Rc::new(active);
    let (sender, batches) = async_sync::mpsc::channel(state.settings.limits.stream_batches);
    let ending = rc::Rc::new(cell::RefCell::new(StreamEnd::Unset));
    let relay = Relay { state, generation, writer, sender, ending: ending.clone(), outcome_event };
    let task_active = active.clone();
    let (guard, watch) = linger::pair(io);
    drop(ntex::rt::spawn(async move {
        let time_left = relay.run().await;
        drop(task_active);
        watch.close_after(time_left).await;
    }));
    BodyStream { batches, ending, _active: active, _guard: guard }
}

/// Task that moves tokens from the generation to the response body.
struct Relay {
    state: std::sync::Arc<state::State>,
    generation: generation::Generation,
    writer: render::Writer,
    sender: async_sync::mpsc::Sender<util::Bytes>,
    ending: SharedEnd,
    outcome_event: bool,
}

impl Relay {
    /// Relays the response. Returns how long the caller may take to read the rest.
    async fn run(mut self) -> clock::Span {
        let sender = self.sender.clone();
        let ended = tokio::select! {
            biased;
            () = sender.closed() => None,
            ended = self.forward() => Some(ended),
        };
        let (metrics, labels) = (&self.state.metrics, self.generation.input().labels());
        match ended {
            Some(Ok(outcome)) => {
                metrics.count_done(&labels, outcome);
                self.ending.replace(StreamEnd::Complete);
            }
            Some(Err(fault)) => {
                metrics.count_failed(&labels, &fault.failure);
                self.writer.fail(&fault.to_json());
                self.ending.replace(StreamEnd::Failed(self.writer.take()));
            }
            None => {
                let fault = fault::new(Reason::CallerLeft, Step::Stream, self.generation.abandon());
                metrics.count_failed(&labels, &fault.failure);
            }
        }
        self.generation.input().call.time_left(&self.state) + self.state.settings.limits.linger
    }

    /// Sends batches of events until the response ends.
    async fn forward(&mut self) -> Result<Outcome, fault::Fault> {
        loop {
            let summary = self.generation.next(&mut self.writer).await?;
            if let Some(summary) = summary {
                let usage = usage(&self.generation, summary);
                self.writer.finish(usage, self.outcome_event);
            }
            let batch = self.writer.take();
            let deadline = self.generation.input().call.deadline;
            let sent = interrupt::within(&self.state, deadline, self.sender.send(batch)).await;
            if let Err(interrupt) = sent {
                return Err(interrupt.fault(Step::Stream, self.generation.abandon()));
            }
            if let Some(summary) = summary {
                return Ok(summary.outcome);
            }
        }
    }
}

/// Returns the usage for the end of a response.
pub(crate) fn usage(
    generation: &generation::Generation,
    summary: generation::Summary,
) -> render::Usage {
    render::Usage {
        prompt_tokens: summary.prompt_tokens,
        answer_tokens: summary.answer_tokens,
        limit_reached: summary.answer_tokens >= generation.input().request.answer_tokens,
    }
}
