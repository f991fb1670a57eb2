//! The bodies of callers' answers that are sent piece by piece, and how they end.

use std::pin;
use std::task;

use futures_util::Stream;
use lagoonline::clock;
use ntex::util;
use tokio::sync::mpsc;

use crate::forward;

/// Events buffered for a slow caller; while the buffer is full the upstream is not read.
const EVENT_BUFFER: usize = 64;
/// Interval of the check whether a connection has sent what was written to it.
const FLUSH_CHECK_INTERVAL: clock::Span = clock::Span::from_millis(10);
/// Timeout for the caller to receive what was forwarded before its stream broke.
const CUT_TIMEOUT: clock::Span = clock::Span::from_secs(1);

/// A body whose pieces come from a task. It ends when all senders are dropped.
#[derive(Debug)]
pub(crate) struct Body {
    events: mpsc::Receiver<util::Bytes>,
}

impl Stream for Body {
    type Item = Result<util::Bytes, std::io::Error>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        self.events.poll_recv(context).map(|event| event.map(Ok))
    }
}

/// Returns a body and the sender of its pieces.
pub(crate) fn channel() -> (mpsc::Sender<util::Bytes>, Body) {
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    (sender, Body { events })
}

/// Returns a body of `bytes` whose end is that of the caller's connection, and starts the task that
/// closes it.
pub(crate) fn unmarked(bytes: util::Bytes, caller: forward::Caller) -> Body {
    let (sender, body) = channel();
    drop(ntex::rt::spawn(async move {
        // A caller that has left needs no body.
        if sender.send(bytes).await.is_ok() {
            close(caller.io.as_ref(), &sender).await;
        }
        drop(caller);
    }));
    body
}

/// Closes the caller's connection once it has taken the whole body. The body is held open until
/// then: if it ended, the server would handle a request that was sent behind this one, and write
/// its answer into the body. The connection is not closed gracefully, since the server does not
/// notice that while it waits for the body; nothing is left to be written.
pub(crate) async fn close(io: Option<&ntex::io::IoRef>, sender: &mpsc::Sender<util::Bytes>) {
    if let Some(io) = io {
        flush(io, sender).await;
        io.terminate();
        sender.closed().await;
    }
}

/// Waits until the whole body was written to the connection, or the connection is closed. Closing
/// it earlier would discard what a slow caller has not taken within the server's timeout.
async fn flush(io: &ntex::io::IoRef, sender: &mpsc::Sender<util::Bytes>) {
    let taken = sender.reserve_many(EVENT_BUFFER).await.is_ok();
    while taken && !io.is_closed() && !io.with_write_dst_buf(|buffer| buffer.is_empty()) {
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    }
}

/// Closes the caller's connection once the forwarded events are sent, without the terminating chunk
/// of the body.
///
/// An error passed to the server would be written into the body as an answer of its own, and ending
/// the body would make the stream look complete. So the body is held open until the connection is
/// closed.
pub(crate) async fn cut(io: Option<&ntex::io::IoRef>, sender: &mpsc::Sender<util::Bytes>) {
    let closing = tokio::time::timeout(CUT_TIMEOUT, close(io, sender));
    if closing.await.is_err()
        && let Some(io) = io
    {
        io.terminate();
    }
    sender.closed().await;
}
