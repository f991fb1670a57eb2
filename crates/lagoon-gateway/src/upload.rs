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
use crate::payload;

/// Size in bytes of the read buffer of a caller's connection. What fits into two of them is split into
/// chunks at a time.
pub(crate) const READ_BUFFER: usize = 4 << 10;
/// Bytes beside a body that are covered by what counts for each request.
const COVERED: usize = 2 * READ_BUFFER;
/// Maximum size of a read buffer in bytes. The server pauses reading at [`READ_BUFFER`] and empties the
/// buffer into the queue, so only a chunk's header that goes on exceeds this.
const MAX_READ_BUFFER: usize = 32 << 10;
/// Size in bytes of a chunk in the server's queue, without its content.
const QUEUED_CHUNK: usize = mem::size_of::<util::Bytes>();
/// Size in bytes of the segments of a body.
const SEGMENT: usize = 64 << 10;

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
    /// Bytes received so far.
    length: usize,
    /// Full segments.
    segments: Vec<bytes::Bytes>,
    segment: bytes::BytesMut,
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
            length: 0,
            segments: Vec::new(),
            segment: bytes::BytesMut::new(),
            longest_queue: 0,
            overhead: 0,
        }
    }

    /// Returns the whole body, which is then kept in the account.
    ///
    /// # Errors
    ///
    /// The body is malformed or too long, or this host has no memory for it.
    pub(crate) async fn receive(mut self) -> Result<payload::Content, Failure> {
        future::poll_fn(|context| self.poll(context)).await?;
        self.account.replace(self.overhead, self.spare().saturating_sub(COVERED));
        self.account.complete();
        self.segments.push(self.segment.freeze());
        Ok(self.segments.into_iter().collect())
    }

    /// Takes all chunks that have arrived.
    fn poll(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), Failure>> {
        let (mut chunks, before) = (0, self.length);
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
        self.account(self.length - before)?;
        polled
    }

    fn append(&mut self, mut chunk: &[u8]) -> Result<(), Failure> {
        self.length += chunk.len();
        if self.length > self.max_bytes {
            let detail = format!("a body of over {} bytes", self.max_bytes);
            let fault = answer::Fault::not_run(Reason::TooLong, Step::Read, detail);
            return Err(Failure::Invalid(fault));
        }
        while !chunk.is_empty() {
            if self.segment.len() >= SEGMENT {
                let full = mem::replace(&mut self.segment, bytes::BytesMut::with_capacity(SEGMENT));
                self.segments.push(full.freeze());
            }
            let room = SEGMENT - self.segment.len();
            let (now, later) = chunk.split_at(room.min(chunk.len()));
            self.segment.extend_from_slice(now);
            chunk = later;
        }
        Ok(())
    }

    /// Returns the bytes of the last segment that are not filled.
    fn spare(&self) -> usize {
        self.segment.capacity() - self.segment.len()
    }

    /// Accounts for `received` further bytes of the body, and for what is held beside it.
    fn account(&mut self, received: usize) -> Result<(), Failure> {
        let unread = self.io.map_or(0, |io| io.with_read_src_buf(|buffer| buffer.len()));
        if unread > MAX_READ_BUFFER {
            return Err(malformed(format!("a chunk's header of over {MAX_READ_BUFFER} bytes")));
        }
        // The queue grows by doubling.
        let queue = self.longest_queue.next_power_of_two() * QUEUED_CHUNK;
        let overhead = (queue + unread + self.spare()).saturating_sub(COVERED);
        let is_held = self.account.replace(self.overhead, overhead)
            && (received == 0 || self.account.receive(received));
        self.overhead = overhead;
        if is_held { Ok(()) } else { Err(Failure::OutOfMemory) }
    }
}

fn malformed(detail: String) -> Failure {
    Failure::Invalid(answer::Fault::not_run(Reason::Malformed, Step::Read, detail))
}
