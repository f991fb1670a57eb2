//! Streams a response to its caller with bounded buffers and an explicit end.
//!
//! Guards against a broken stream that looks complete, and against a slow caller that makes this
//! host buffer without limit. A task fills a bounded channel; while the channel is full, the
//! engine's connection is not read. The end of the stream is stored outside the channel, so that it
//! reaches the caller even when the channel is full. If the task ends without storing one, as after
//! a panic, the connection is cut. Only [`Ending::Whole`] ends the body normally.

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
use super::limit;
use super::linger;
use super::pull;
use super::render;
use super::state;

#[derive(Debug)]
enum Ending {
    /// The stream has not ended, or its task ended without storing an ending.
    Open,
    /// The response is complete.
    Whole,
    /// The response failed; holds the error event that is sent last.
    Failed(util::Bytes),
}

type Shared = rc::Rc<cell::RefCell<Ending>>;

/// Body of a streamed response.
#[derive(Debug)]
pub(crate) struct Feed {
    batches: async_sync::mpsc::Receiver<util::Bytes>,
    ending: Shared,
    _active: rc::Rc<state::Active>,
    _open: linger::Open,
}

impl Stream for Feed {
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

impl Feed {
    fn end(&self) -> Option<Result<util::Bytes, std::io::Error>> {
        match self.ending.replace(Ending::Whole) {
            Ending::Whole => None,
            Ending::Failed(event) => Some(Ok(event)),
            Ending::Open => Some(Err(std::io::Error::other("the answer broke off"))),
        }
    }
}

/// Starts a task that sends the remaining tokens of `generation` to the returned body.
pub(crate) fn start(
    state: std::sync::Arc<state::State>,
    pull: pull::Pull,
    writer: render::Writer,
    active: state::Active,
    outcome_event: bool,
    io: Option<&io::IoRef>,
) -> Feed {
    let active = rc::Rc::new(active);
    let (sender, batches) = async_sync::mpsc::channel(state.settings.limits.stream_batches);
    let ending = rc::Rc::new(cell::RefCell::new(Ending::Open));
    let relay = Relay { state, pull, writer, sender, ending: ending.clone(), outcome_event };
    let kept = active.clone();
    let (open, watch) = linger::pair(io);
    drop(ntex::rt::spawn(async move {
        let left = relay.run().await;
        drop(kept);
        watch.bound(left).await;
    }));
    Feed { batches, ending, _active: active, _open: open }
}

struct Relay {
    state: std::sync::Arc<state::State>,
    pull: pull::Pull,
    writer: render::Writer,
    sender: async_sync::mpsc::Sender<util::Bytes>,
    ending: Shared,
    outcome_event: bool,
}

impl Relay {
    /// Relays the response. Returns how long the caller may take to read the rest.
    async fn run(mut self) -> clock::Span {
        let sender = self.sender.clone();
        let ended = tokio::select! {
            biased;
            () = sender.closed() => None,
            ended = self.copy() => Some(ended),
        };
        let (metrics, subject) = (&self.state.metrics, self.pull.job().subject());
        match ended {
            Some(Ok(outcome)) => {
                metrics.done(&subject, outcome);
                self.ending.replace(Ending::Whole);
            }
            Some(Err(fault)) => {
                metrics.failed(&subject, &fault.failure);
                self.writer.fail(&fault.object());
                self.ending.replace(Ending::Failed(self.writer.take()));
            }
            None => {
                let fault = fault::new(Reason::CallerLeft, Step::Stream, self.pull.leave());
                metrics.failed(&subject, &fault.failure);
            }
        }
        self.pull.job().call.left(&self.state) + self.state.settings.limits.linger
    }

    async fn copy(&mut self) -> Result<Outcome, fault::Fault> {
        loop {
            let end = self.pull.next(&mut self.writer).await?;
            if let Some(end) = end {
                let usage = usage(&self.pull, end);
                self.writer.finish(usage, self.outcome_event);
            }
            let batch = self.writer.take();
            let deadline = self.pull.job().call.deadline;
            let sent = limit::within(&self.state, deadline, self.sender.send(batch)).await;
            if let Err(stop) = sent {
                return Err(stop.fault(Step::Stream, self.pull.leave()));
            }
            if let Some(end) = end {
                return Ok(end.outcome);
            }
        }
    }
}

/// Returns the usage for the end of a response.
pub(crate) fn usage(pull: &pull::Pull, end: pull::End) -> render::Usage {
    render::Usage {
        prompt_tokens: end.prompt_tokens,
        answer_tokens: end.answer_tokens,
        cut_by_limit: end.answer_tokens >= pull.job().ask.answer_tokens,
    }
}
