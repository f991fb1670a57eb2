//! Bounds on bytes of an upstream that bring its answer no further.
//!
//! Load pattern: an upstream, or whatever answers in its place, sends bytes that never become a
//! valid answer: a head or informational heads without end, chunk extensions, trailers, comments
//! and blank lines in a stream, or one byte a second. Each of these keeps a connection, a slot and
//! memory in use until the request's deadline, and none of them is silence, by which a frozen
//! upstream is found.
//!
//! All checks are made when bytes arrive. An upstream that stops sending is subject to the bounds
//! on silence, so nothing here needs a timer. A slow unit is a violation only after
//! [`Settings::min_pieces`] pieces: a unit that is interrupted by one lost packet, or by a pause of
//! its sender, consists of two or three.

use crate::clock;
use crate::event_stream;

/// How bytes of an upstream failed to become an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The heads of an answer, informational ones included, are too large.
    #[error("a head without end")]
    Head,
    /// A head arrives too slowly.
    #[error("a head that arrives too slowly")]
    SlowHead,
    /// Bytes of a body bring no content: chunk extensions, trailers.
    #[error("bytes of a body without content")]
    Framing,
    /// The same, arriving slowly.
    #[error("bytes of a body without content that arrive slowly")]
    SlowFraming,
    /// A body is too large to be buffered.
    #[error("a body that is too large")]
    Body,
    /// A body arrives too slowly.
    #[error("a body that arrives too slowly")]
    SlowBody,
    /// Bytes of a stream make no event: comments, blank lines.
    #[error("bytes of a stream without an event")]
    Comments,
    /// A stream has had no event for a long time although bytes arrived.
    #[error("no event for a long time")]
    NoEvent,
    /// An event or a line arrives too slowly.
    #[error("an event that arrives too slowly")]
    SlowEvent,
    /// An event is too large to be buffered.
    #[error("an event that is too large")]
    Event,
    /// A body that is buffered, or an event, arrives in too many pieces.
    #[error("content in too many pieces")]
    Pieces,
}

impl Violation {
    /// Returns the label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Violation::Head => "head",
            Violation::SlowHead => "slow_head",
            Violation::Framing => "framing",
            Violation::SlowFraming => "slow_framing",
            Violation::Body => "body",
            Violation::SlowBody => "slow_body",
            Violation::Comments => "comments",
            Violation::NoEvent => "no_event",
            Violation::SlowEvent => "slow_event",
            Violation::Event => "event",
            Violation::Pieces => "pieces",
        }
    }
}

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum size of all heads of an answer in bytes, informational ones included. Callers' heads
    /// may have 16 KB.
    pub head_bytes: usize,
    /// Maximum number of bytes after the last content of a body that bring no further content. It
    /// exceeds what is read ahead of a connection, which may hold many chunks.
    pub framing_bytes: usize,
    /// Maximum number of bytes of comments and blank lines in a stream after an event.
    pub comment_bytes: usize,
    /// Time within which a unit arrives whose sender has begun it: a head, a chunk header, an event,
    /// a line. Upstreams write each at once, and a lost packet costs some hundred milliseconds.
    pub unit_time: clock::Span,
    /// Number of pieces from which on a unit can be too slow.
    pub min_pieces: u32,
    /// Maximum number of pieces of a body that is buffered, and of an event: receiving a small piece
    /// takes as much processor time as one of 64 bytes, of which 8 MB have so many.
    pub max_pieces: u32,
    /// Minimum rate of a body in bytes per second while it arrives, and of an event.
    pub min_rate: f64,
    /// Time from the head of a stream to its first event, if bytes arrive. Keep-alive comments are
    /// usual while a prompt waits, and targets for the first event are below 10 s.
    pub first_event: clock::Span,
    /// Time between two events, if bytes arrive. Targets for pauses are about 1 s.
    pub next_event: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            head_bytes: 64 << 10,
            framing_bytes: 512 << 10,
            comment_bytes: 64 << 10,
            unit_time: clock::Span::from_secs(3),
            min_pieces: 4,
            max_pieces: 128 << 10,
            min_rate: 64.0,
            first_event: clock::Span::from_secs(30),
            next_event: clock::Span::from_secs(10),
        }
    }
}

/// A unit of which a part has arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Unit {
    /// When its first piece arrived.
    since: Option<clock::Moment>,
    bytes: usize,
    pieces: u32,
}

impl Unit {
    fn add(&mut self, bytes: usize, now: clock::Moment) {
        self.since.get_or_insert(now);
        self.bytes += bytes;
        self.pieces += 1;
    }

    /// Returns for how long it has been arriving, if it consists of enough pieces to be slow.
    fn slow_for(&self, settings: &Settings, now: clock::Moment) -> Option<clock::Span> {
        let since = self.since.filter(|_| self.pieces >= settings.min_pieces)?;
        let span = now.since(since);
        (span >= settings.unit_time).then_some(span)
    }

    fn is_below_rate(&self, settings: &Settings, now: clock::Moment) -> bool {
        let slow = self.slow_for(settings, now);
        slow.is_some_and(|span| (self.bytes as f64) < settings.min_rate * span.as_secs_f64())
    }
}

/// Watches the bytes of a connection: the heads of an answer, and then how much of its body is no
/// content.
///
/// ```
/// use lagoonline::clock::Moment;
/// use lagoonline::load::progress;
/// let mut watch = progress::Connection::default();
/// watch.begin_head();
/// let informational = [b'x'; 16 << 10];
/// for _ in 0..4 {
///     assert_eq!(watch.receive(&informational, Moment::START), Ok(()));
/// }
/// assert_eq!(
///     watch.receive(&informational, Moment::START),
///     Err(progress::Violation::Head)
/// );
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Connection {
    settings: Settings,
    in_body: bool,
    /// Bytes of all heads of this answer.
    head_bytes: usize,
    /// Whether the bytes of the current line are none, or CR alone.
    line_is_empty: bool,
    /// The head that is arriving, or what arrived since the last content of the body.
    unit: Unit,
}

impl Connection {
    /// Begins to wait for the head of an answer.
    pub fn begin_head(&mut self) {
        *self = Connection { settings: self.settings, line_is_empty: true, ..Default::default() };
    }

    /// Records that the head is complete and the body begins.
    pub fn begin_body(&mut self) {
        self.in_body = true;
        self.unit = Unit::default();
    }

    /// Records that content of the body was delivered.
    pub fn deliver(&mut self) {
        self.unit = Unit::default();
    }

    /// Records bytes that arrived.
    ///
    /// # Errors
    ///
    /// They exceed a bound.
    pub fn receive(&mut self, bytes: &[u8], now: clock::Moment) -> Result<(), Violation> {
        if bytes.is_empty() {
            return Ok(());
        }
        if self.in_body { self.receive_body(bytes, now) } else { self.receive_head(bytes, now) }
    }

    fn receive_head(&mut self, bytes: &[u8], now: clock::Moment) -> Result<(), Violation> {
        // What arrives along with the end of a head may be its body: what was received before this
        // read is no body, so it is compared.
        if self.head_bytes >= self.settings.head_bytes {
            return Err(Violation::Head);
        }
        self.head_bytes += bytes.len();
        self.unit.add(bytes.len(), now);
        if self.ends_head(bytes) {
            self.unit = Unit::default();
        }
        match self.unit.slow_for(&self.settings, now) {
            Some(_) => Err(Violation::SlowHead),
            None => Ok(()),
        }
    }

    /// Whether a head ends in `bytes`, after which another one may begin.
    fn ends_head(&mut self, bytes: &[u8]) -> bool {
        let mut ends = false;
        for byte in bytes {
            match byte {
                b'\n' if self.line_is_empty => ends = true,
                b'\n' => self.line_is_empty = true,
                b'\r' => {}
                _ => self.line_is_empty = false,
            }
        }
        ends
    }

    fn receive_body(&mut self, bytes: &[u8], now: clock::Moment) -> Result<(), Violation> {
        self.unit.add(bytes.len(), now);
        if self.unit.bytes > self.settings.framing_bytes {
            return Err(Violation::Framing);
        }
        match self.unit.slow_for(&self.settings, now) {
            Some(_) => Err(Violation::SlowFraming),
            None => Ok(()),
        }
    }
}

/// Watches a body that is buffered until it is complete.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::load::progress;
/// let mut watch = progress::Body::new(1_000);
/// let mut seconds = (0..).map(|second| watch.receive(1, Moment::START + Span::from_secs(second)));
/// assert_eq!(seconds.position(|checked| checked.is_err()), Some(3));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Body {
    settings: Settings,
    limit: usize,
    bytes: usize,
    pieces: u32,
    /// What has arrived since the rate was last sufficient.
    unit: Unit,
}

impl Body {
    /// Creates the watch of a body of at most `limit` bytes.
    pub fn new(limit: usize) -> Body {
        Body { settings: Settings::default(), limit, bytes: 0, pieces: 0, unit: Unit::default() }
    }

    /// Records content that arrived.
    ///
    /// # Errors
    ///
    /// It exceeds a bound.
    pub fn receive(&mut self, bytes: usize, now: clock::Moment) -> Result<(), Violation> {
        self.bytes += bytes;
        if self.bytes > self.limit {
            return Err(Violation::Body);
        }
        self.pieces += 1;
        if self.pieces > self.settings.max_pieces {
            return Err(Violation::Pieces);
        }
        self.unit.add(bytes, now);
        if self.unit.is_below_rate(&self.settings, now) {
            return Err(Violation::SlowBody);
        }
        if self.unit.slow_for(&self.settings, now).is_some() {
            self.unit = Unit::default();
        }
        Ok(())
    }
}

/// Watches the bytes of a stream for events.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    settings: Settings,
    /// When the stream began, or its last event was complete.
    last: clock::Moment,
    has_event: bool,
    /// What has arrived since then.
    unit: Unit,
    /// What has arrived of the current event or line.
    part: Unit,
}

impl Stream {
    /// Creates the watch of a stream whose head arrived at `now`.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::event_stream::Rest;
    /// use lagoonline::load::progress;
    /// let mut watch = progress::Stream::new(Moment::START);
    /// assert_eq!(watch.receive(65_536, Rest::Nothing, Moment::START), Ok(()));
    /// let comment = watch.receive(1, Rest::Nothing, Moment::START);
    /// assert_eq!(comment, Err(progress::Violation::Comments));
    /// ```
    pub fn new(now: clock::Moment) -> Stream {
        Stream {
            settings: Settings::default(),
            last: now,
            has_event: false,
            unit: Unit::default(),
            part: Unit::default(),
        }
    }

    /// Records that an event is complete.
    pub fn complete_event(&mut self, now: clock::Moment) {
        self.last = now;
        self.has_event = true;
        self.unit = Unit::default();
        self.part = Unit::default();
    }

    /// Records `bytes` that completed no event and after which `rest` is left.
    ///
    /// # Errors
    ///
    /// They exceed a bound.
    pub fn receive(
        &mut self,
        bytes: usize,
        rest: event_stream::Rest,
        now: clock::Moment,
    ) -> Result<(), Violation> {
        self.unit.add(bytes, now);
        if rest == event_stream::Rest::Nothing {
            self.part = Unit::default();
        } else {
            self.part.add(bytes, now);
        }
        if self.part.is_below_rate(&self.settings, now) {
            return Err(Violation::SlowEvent);
        }
        if self.unit.pieces > self.settings.max_pieces {
            return Err(Violation::Pieces);
        }
        let limit =
            if self.has_event { self.settings.next_event } else { self.settings.first_event };
        if self.unit.pieces >= self.settings.min_pieces && now.since(self.last) >= limit {
            return Err(Violation::NoEvent);
        }
        if self.unit.bytes > self.settings.comment_bytes && rest != event_stream::Rest::Event {
            return Err(Violation::Comments);
        }
        Ok(())
    }
}
