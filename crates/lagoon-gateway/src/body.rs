//! The bodies of callers' answers that are sent piece by piece, and how they end.

use std::pin;
use std::task;

use futures_util::Stream;
use lagoonline::clock;
use ntex::util;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::buffers;
use crate::forward;

/// Interval of the check whether a connection has sent what was written to it.
const FLUSH_CHECK_INTERVAL: clock::Span = clock::Span::from_millis(10);
/// Timeout for the caller to receive what was forwarded before its stream broke.
const CUT_TIMEOUT: clock::Span = clock::Span::from_secs(1);

/// Size in bytes from which on a body that is not streamed waits in the account of its caller; a
/// smaller one is covered by what counts for each request.
const MIN_ACCOUNTED_BODY: usize = 16 << 10;

/// What is sent of a body.
#[derive(Debug)]
enum Piece {
    Bytes(util::Bytes),
    /// The body is whole.
    End,
}

/// A body whose pieces come from a task. It ends only if its sender finishes it: one that is dropped
/// before, as by a panic, leaves a body that is not whole.
#[derive(Debug)]
pub(crate) struct Body {
    events: mpsc::UnboundedReceiver<Piece>,
    account: buffers::Account,
    /// Cancelled when the server has taken the whole body, or needs no more of it.
    ended: CancellationToken,
}

impl Stream for Body {
    type Item = Result<util::Bytes, std::io::Error>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        match task::ready!(self.events.poll_recv(context)) {
            Some(Piece::Bytes(bytes)) => {
                self.account.take(bytes.len());
                task::Poll::Ready(Some(Ok(bytes)))
            }
            Some(Piece::End) => task::Poll::Ready(None),
            // The connection is closed by whoever dropped the sender.
            None => task::Poll::Pending,
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.ended.cancel();
    }
}

/// Sends the pieces of a body.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pieces: mpsc::UnboundedSender<Piece>,
    account: buffers::Account,
    ended: CancellationToken,
}

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the body is no longer needed")]
pub(crate) struct Closed;

impl Sender {
    /// Adds a piece, and waits while too much is read ahead of the caller.
    ///
    /// # Errors
    ///
    /// The caller's connection is closed.
    pub(crate) async fn send(&self, piece: util::Bytes) -> Result<(), Closed> {
        self.push(piece)?;
        tokio::select! {
            biased;
            () = self.account.wait_for_room() => Ok(()),
            () = self.closed() => Err(Closed),
        }
    }

    /// Adds a piece.
    fn push(&self, piece: util::Bytes) -> Result<(), Closed> {
        let length = piece.len();
        self.account.wait(length);
        self.pieces.send(Piece::Bytes(piece)).map_err(|_| {
            self.account.take(length);
            Closed
        })
    }

    /// Waits until the body is no longer needed.
    pub(crate) async fn closed(&self) {
        self.ended.cancelled().await;
    }

    /// Ends the body, and waits until the connection `io` has taken it. The connection is closed if
    /// the caller is cut off before.
    pub(crate) async fn finish(self, io: Option<&ntex::io::IoRef>) {
        let Sender { pieces, account, ended } = self;
        drop(pieces.send(Piece::End));
        tokio::select! {
            biased;
            () = ended.cancelled() => {}
            () = account.wait_for_cut() => terminate(io),
        }
    }
}

/// Returns a body and the sender of its pieces, which wait in `account` until they are taken.
pub(crate) fn channel(account: buffers::Account) -> (Sender, Body) {
    let (pieces, events) = mpsc::unbounded_channel();
    let ended = CancellationToken::new();
    let sender = Sender { pieces, account: account.clone(), ended: ended.clone() };
    (sender, Body { events, account, ended })
}

/// Starts a task that accounts for a body of `length` bytes, which is not streamed, until the
/// caller's connection has taken it.
pub(crate) fn watch(length: usize, caller: forward::Caller, account: buffers::Account) {
    if length < MIN_ACCOUNTED_BODY || caller.io.is_none() {
        return;
    }
    account.wait(length);
    drop(ntex::rt::spawn(async move {
        let Some(io) = &caller.io else { return };
        tokio::select! {
            () = written(io) => {}
            () = account.wait_for_cut() => io.terminate(),
        }
    }));
}

/// Waits until the connection has sent what is written to it, or is closed.
async fn written(io: &ntex::io::IoRef) {
    // The answer is written once its handler has returned, so the first check comes after a pause.
    tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    while !io.is_closed() && !io.with_write_dst_buf(|buffer| buffer.is_empty()) {
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    }
}

/// Closes the caller's connection when it is dropped, unless its answer ended by then.
#[derive(Debug)]
pub(crate) struct Guard {
    io: Option<ntex::io::IoRef>,
}

impl Guard {
    pub(crate) fn new(io: Option<&ntex::io::IoRef>) -> Guard {
        Guard { io: io.cloned() }
    }

    /// Keeps the connection.
    pub(crate) fn disarm(mut self) {
        self.io = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        terminate(self.io.as_ref());
    }
}

/// Closes the connection and discards what was not sent.
pub(crate) fn terminate(io: Option<&ntex::io::IoRef>) {
    if let Some(io) = io {
        io.terminate();
    }
}

/// Closes the caller's connection once it has taken the whole body. The body is held open until
/// then: if it ended, the server would handle a request that was sent behind this one, and write
/// its answer into the body. The connection is not closed gracefully, since the server does not
/// notice that while it waits for the body; nothing is left to be written.
pub(crate) async fn close(io: Option<&ntex::io::IoRef>, sender: &Sender) {
    if let Some(io) = io {
        flush(io, sender).await;
        io.terminate();
        sender.closed().await;
    }
}

/// Waits until the whole body was written to the connection, or the connection is closed. Closing
/// it earlier would discard what a slow caller has not taken within the server's timeout.
async fn flush(io: &ntex::io::IoRef, sender: &Sender) {
    let is_written = || io.with_write_dst_buf(|buffer| buffer.is_empty());
    while !io.is_closed() && (sender.account.waiting() > 0 || !is_written()) {
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
    }
}

/// Closes the caller's connection once the forwarded events are sent, without the terminating chunk
/// of the body.
///
/// An error passed to the server would be written into the body as an answer of its own, and ending
/// the body would make the stream look complete. So the body is held open until the connection is
/// closed.
pub(crate) async fn cut(io: Option<&ntex::io::IoRef>, sender: &Sender) {
    let closing = tokio::time::timeout(CUT_TIMEOUT, close(io, sender));
    if closing.await.is_err() {
        terminate(io);
    }
    sender.closed().await;
}
