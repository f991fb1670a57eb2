//! Splits an event stream (`text/event-stream`) into its events.
//!
//! A line ends with LF, CR LF or CR, and an empty line ends an event. A stream that ends before
//! that was broken off inside an event.

use bytes::{Bytes, BytesMut};

const LF: u8 = b'\n';
const CR: u8 = b'\r';

/// An event with its empty line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event as received, after empty lines that were left over from before it.
    pub bytes: Bytes,
    /// The number in its last `id` line.
    pub number: Option<u64>,
    /// Whether it consists of comments only, as sent to keep a connection in use.
    ///
    /// ```
    /// use lagoonline::event_stream;
    /// let mut reader = event_stream::Reader::default();
    /// reader.push(b": alive\n\ndata: x\n\n");
    /// assert!(reader.next_event().unwrap().is_comment);
    /// assert!(!reader.next_event().unwrap().is_comment);
    /// ```
    pub is_comment: bool,
}

/// What has arrived of a stream after its last event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// Nothing, or only empty lines and complete comments.
    Nothing,
    /// A comment whose line has not ended, and no part of an event.
    Comment,
    /// A part of an event.
    Event,
}

/// Splits the bytes of a stream, which arrive in any pieces.
///
/// ```
/// use lagoonline::event_stream;
/// let mut reader = event_stream::Reader::default();
/// reader.push(b"id: 4\ndata: x\n\nid: 5\nda");
/// assert_eq!(reader.next_event().unwrap().number, Some(4));
/// assert_eq!(reader.next_event(), None);
/// assert!(reader.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
    /// Start of the line that is being read.
    line_start: usize,
    /// Whether a line that is not empty was read since the last event.
    has_content: bool,
    /// Whether one of these lines is no comment.
    has_field: bool,
    /// Whether the byte before the buffer is a CR, to which an LF may belong.
    after_cr: bool,
}

impl Reader {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the first complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        while self.scanned < self.buffer.len() {
            let index = self.scanned;
            self.scanned += 1;
            match self.buffer[index] {
                LF if self.is_after_cr(index) => self.line_start = index + 1,
                LF | CR if index > self.line_start => {
                    self.has_content = true;
                    self.has_field |= self.buffer[self.line_start] != b':';
                    self.line_start = index + 1;
                }
                LF | CR if self.has_content => return Some(self.split_event(index)),
                LF | CR => self.line_start = index + 1,
                _ => {}
            }
        }
        None
    }

    fn is_after_cr(&self, index: usize) -> bool {
        index.checked_sub(1).map_or(self.after_cr, |before| self.buffer[before] == CR)
    }

    /// Removes the event whose empty line ends with the byte at `end`, and an LF that belongs to it.
    /// An LF that has not arrived yet is left to the next event: waiting for it would delay a
    /// stream whose lines end with CR by an event.
    fn split_event(&mut self, end: usize) -> Event {
        let is_crlf = self.buffer[end] == CR && self.buffer.get(end + 1) == Some(&LF);
        let bytes = self.buffer.split_to(end + 1 + usize::from(is_crlf)).freeze();
        self.after_cr = bytes.ends_with(&[CR]);
        self.scanned = 0;
        self.line_start = 0;
        self.has_content = false;
        let is_comment = !std::mem::take(&mut self.has_field);
        Event { number: event_number(&bytes), bytes, is_comment }
    }

    /// Whether bytes of an event are left that has not ended. Comments and empty lines belong to no
    /// event.
    ///
    /// ```
    /// use lagoonline::event_stream;
    /// let mut reader = event_stream::Reader::default();
    /// reader.push(b": a comment\n");
    /// assert!(!reader.is_inside_event());
    /// ```
    pub fn is_inside_event(&self) -> bool {
        lines(&self.buffer).any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// Returns what has arrived after the last event, once [`Reader::next_event`] has returned
    /// `None`. Unlike [`Reader::is_inside_event`], it does not read the bytes again.
    ///
    /// ```
    /// use lagoonline::event_stream;
    /// let mut reader = event_stream::Reader::default();
    /// reader.push(b"\n: a com");
    /// assert_eq!(reader.next_event(), None);
    /// assert_eq!(reader.rest(), event_stream::Rest::Comment);
    /// ```
    pub fn rest(&self) -> Rest {
        let begun = self.buffer.get(self.line_start);
        match begun {
            _ if self.has_field => Rest::Event,
            Some(b':') => Rest::Comment,
            Some(_) => Rest::Event,
            None => Rest::Nothing,
        }
    }

    /// Returns the number of bytes that belong to no complete event.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the bytes that belong to no complete event, and begins anew.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buffer.freeze()
    }
}

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| matches!(*byte, LF | CR))
}

/// Returns the number in an event's last `id` line.
fn event_number(event: &[u8]) -> Option<u64> {
    let id = lines(event).filter_map(|line| line.strip_prefix(b"id:")).last()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
