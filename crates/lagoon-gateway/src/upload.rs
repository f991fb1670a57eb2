//! The bodies that callers send, and what this host holds while they arrive.
//!
//! The HTTP server reads a connection, splits the body into its chunks and queues them. A byte of a
//! small chunk takes as much memory in that queue as a large chunk does, the queue keeps its largest
//! size until the body ends, and the header of a chunk stays in the read buffer until it is complete,
//! however long it is. So the queue and the read buffer are accounted for beside the body itself.

use std::future;
use std::mem;
use std::task;

use futures_util::StreamExt;
use lagoonline::outcome::{Reason, Step};
use ntex::http;
use ntex::util;

use crate::answer;
use crate::buffers;

/// Size in bytes of the read buffer of a caller's connection. What fits into two of them is split into
/// chunks at a time.
pub(crate) const READ_BUFFER: usize = 4 << 10;
/// Maximum size of a read buffer in bytes. The server pauses reading at [`READ_BUFFER`] and empties the
/// buffer into the queue, so only a chunk's header that goes on exceeds this.
const MAX_READ_BUFFER: usize = 32 << 10;
/// Size in bytes of a chunk in the server's queue, without its content.
const QUEUED_CHUNK: usize = mem::size_of::<util::Bytes>();

/// Why a body was not received.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller's fault.
    Invalid(answer::Fault),
    /// This host has no memory for it.
    OutOfMemory,
}

/// A body that arrives.
pub(crate) struct Upload<'a> {
    payload: http::Payload,
    io: Option<&'a ntex::io::IoRef>,
    account: &'a buffers::Account,
    max_bytes: usize,
    body: bytes::BytesMut,
    /// Largest number of chunks that were queued at a time.
    longest_queue: usize,
    /// Bytes that are accounted for beside those of the body.
    overhead: usize,
}

impl<'a> Upload<'a> {
    /// Creates the body that arrives as `payload` on the connection `io`, of at most `max_bytes`
    /// bytes.
    pub(crate) fn new(
        payload: http::Payload,
        io: Option<&'a ntex::io::IoRef>,
        account: &'a buffers::Account,
        max_bytes: usize,
    ) -> Upload<'a> {
        Upload {
            payload,
            io,
            account,
            max_bytes,
            body: bytes::BytesMut::new(),
            longest_queue: 0,
            overhead: 0,
        }
    }

    /// Returns the whole body, which is then kept in the account.
    ///
    /// # Errors
    ///
    /// The body is malformed or too long, or this host has no memory for it.
    pub(crate) async fn receive(mut self) -> Result<bytes::Bytes, Failure> {
        future::poll_fn(|context| self.poll(context)).await?;
        self.account.release(self.overhead);
        self.account.complete();
        Ok(self.body.freeze())
    }

    /// Takes all chunks that have arrived.
    fn poll(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), Failure>> {
        let (mut chunks, before) = (0, self.body.len());
        let polled = loop {
            match self.payload.poll_next_unpin(context) {
                task::Poll::Ready(Some(Ok(chunk))) => {
                    chunks += 1;
                    self.append(&chunk)?;
                }
                task::Poll::Ready(Some(Err(error))) => {
                    return task::Poll::Ready(Err(malformed(error.to_string())));
                }
                task::Poll::Ready(None) => break task::Poll::Ready(Ok(())),
                task::Poll::Pending => break task::Poll::Pending,
            }
        };
        self.longest_queue = self.longest_queue.max(chunks);
        self.account(self.body.len() - before)?;
        polled
    }

    fn append(&mut self, chunk: &[u8]) -> Result<(), Failure> {
        if self.body.len() + chunk.len() > self.max_bytes {
            let detail = format!("a body of over {} bytes", self.max_bytes);
            let fault = answer::Fault::not_run(Reason::TooLong, Step::Read, detail);
            return Err(Failure::Invalid(fault));
        }
        self.body.extend_from_slice(chunk);
        Ok(())
    }

    /// Accounts for `received` further bytes of the body, and for what is held beside it.
    fn account(&mut self, received: usize) -> Result<(), Failure> {
        let unread = self.io.map_or(0, |io| io.with_read_src_buf(|buffer| buffer.len()));
        if unread > MAX_READ_BUFFER {
            return Err(malformed(format!("a chunk's header of over {MAX_READ_BUFFER} bytes")));
        }
        // The queue grows by doubling.
        let queue = self.longest_queue.next_power_of_two() * QUEUED_CHUNK;
        let overhead = queue + unread;
        let is_held = self.account.replace(self.overhead, overhead)
            && (received == 0 || self.account.receive(received));
        self.overhead = overhead;
        if is_held { Ok(()) } else { Err(Failure::OutOfMemory) }
    }
}

fn malformed(detail: String) -> Failure {
    Failure::Invalid(answer::Fault::not_run(Reason::Malformed, Step::Read, detail))
}
