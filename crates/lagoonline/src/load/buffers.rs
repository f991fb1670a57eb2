//! How many bytes a host may hold for callers and upstreams, and who gives way at that bound.
//!
//! Load pattern: hundreds of callers ask for streams and read nothing, or send bodies a byte a
//! second, while upstreams answer at full speed. What is held for them grows until the process is
//! killed, together with all requests of callers that do read. Stopping the upstreams instead does
//! not help: they abort answers that stay unread for some seconds.
//!
//! So an answer is read ahead of its caller, up to [`Settings::read_ahead`], while memory lasts, and
//! up to [`Settings::short_read_ahead`] once it does not. New
//! requests are refused while less is left than one of them may need, unless callers without
//! progress can give way to them: a few that stop before the end of their bodies would otherwise
//! keep the host from all others. If that is not enough, the
//! caller that has taken nothing for the longest time is cut off: it is the least likely to read on,
//! and a caller that reads holds next to nothing.

use std::collections;

use crate::clock;

/// Names a holder in its ledger.
pub type Id = u64;

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Memory in bytes that the process uses by itself: code, tables, logs.
    pub process_bytes: u64,
    /// Share of the rest that may be held. What is held takes more memory than its bytes: buffers
    /// grow by doubling, and the allocator keeps free pages.
    pub share: f64,
    /// Minimum share of all memory that may be held, on hosts with little memory.
    pub min_share: f64,
    /// Share of what may be held for heads of requests that have not arrived completely.
    pub head_share: f64,
    /// Bytes that count for each request beside its body: buffers of both connections, tasks.
    pub request_bytes: usize,
    /// Maximum number of bytes of a stream that are read ahead of its caller: some minutes of
    /// tokens.
    pub read_ahead: usize,
    /// Bytes that a stream may read ahead while the host holds as much as it may. A caller that holds
    /// no more is cut off only if no other one holds more: that frees little, and on a host that is
    /// short of processor time it may be one that reads.
    pub short_read_ahead: usize,
    /// Time without progress from which on a caller may be cut off: lost packets are retransmitted
    /// within it.
    pub min_idle: clock::Span,
    /// Bytes of a body that are progress. A caller that sends less is as idle as one that sends
    /// nothing.
    pub min_progress: usize,
    /// Time without progress after which a caller that sends its body gives way to a new request.
    pub upload_patience: clock::Span,
    /// Time without progress after which a caller that reads its answer gives way to a new request.
    /// It is longer than [`Settings::upload_patience`], since the request has run.
    pub download_patience: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            process_bytes: 48 << 20,
            share: 0.6,
            min_share: 0.25,
            head_share: 0.25,
            request_bytes: 32 << 10,
            read_ahead: 1 << 20,
            short_read_ahead: 32 << 10,
            min_idle: clock::Span::from_millis(500),
            min_progress: 1 << 10,
            upload_patience: clock::Span::from_secs(2),
            download_patience: clock::Span::from_secs(10),
        }
    }
}

impl Settings {
    /// Returns how many bytes may be held by a process with `memory` bytes.
    ///
    /// ```
    /// use lagoonline::load::buffers;
    /// let settings = buffers::Settings::default();
    /// assert_eq!(settings.bound(112 << 20), 40_265_318);
    /// assert_eq!(settings.bound(64 << 20), 16 << 20);
    /// ```
    pub fn bound(&self, memory: u64) -> usize {
        let rest = memory.saturating_sub(self.process_bytes) as f64 * self.share;
        let least = memory as f64 * self.min_share;
        rest.max(least) as usize
    }
}

/// What is held for one caller.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Bytes that are kept until the request ends.
    kept: usize,
    /// Bytes that wait for the caller, to take them or to send the rest.
    waiting: usize,
    /// Whether the caller has not sent its whole body yet.
    is_uploading: bool,
    /// Bytes that the caller has sent since `active`.
    sent: usize,
    /// When the caller last made progress, or when the first of the bytes began to wait.
    active: clock::Moment,
    /// Whether it was cut off, and what it holds is about to be released.
    is_cut: bool,
}

impl Holder {
    /// Returns all bytes that are held for it.
    fn held(&self) -> usize {
        self.kept + self.waiting
    }

    /// Whether it holds anything until its caller makes progress.
    fn waits_for_caller(&self) -> bool {
        self.is_uploading || self.waiting > 0
    }
}

/// Counts what a host holds.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::load::buffers;
/// let mut ledger = buffers::Ledger::new(buffers::Settings::default(), 1_000_000);
/// let (slow, fast) = (ledger.open(Moment::START), ledger.open(Moment::START));
/// ledger.wait(slow, 900_000, Moment::START);
/// assert!(!ledger.admits(100_000));
/// let later = Moment::START + Span::from_secs(1);
/// ledger.wait(fast, 100_000, later);
/// assert_eq!(ledger.cut(later), Some(slow));
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    bound: usize,
    held: usize,
    /// Bytes of heads that have not arrived completely.
    heads: usize,
    next: Id,
    holders: collections::HashMap<Id, Holder>,
}

impl Ledger {
    /// Creates a ledger of at most `bound` bytes.
    pub fn new(settings: Settings, bound: usize) -> Ledger {
        Ledger { settings, bound, held: 0, heads: 0, next: 0, holders: collections::HashMap::new() }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held + self.heads
    }

    /// Returns the bytes that heads of requests may take which have not arrived completely.
    pub fn head_bound(&self) -> usize {
        (self.bound as f64 * self.settings.head_share) as usize
    }

    /// Sets the bytes of heads that have not arrived completely. Returns how many of them have to be
    /// released.
    pub fn set_heads(&mut self, bytes: usize) -> usize {
        self.heads = bytes;
        bytes.saturating_sub(self.head_bound())
    }

    /// Returns the bytes that may be held.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Whether a request may begin that needs up to `bytes` bytes, once what is about to be released
    /// is free.
    pub fn admits(&self, bytes: usize) -> bool {
        self.lasting() + bytes + self.settings.request_bytes <= self.bound
    }

    /// Chooses a holder that gives way to a new request of up to `bytes` bytes, if there is no room
    /// for it: one without progress for longer than is waited for its caller.
    ///
    /// ```
    /// use lagoonline::clock::{Moment, Span};
    /// use lagoonline::load::buffers;
    /// let mut ledger = buffers::Ledger::new(buffers::Settings::default(), 1_000_000);
    /// let stopped = ledger.open(Moment::START);
    /// ledger.upload(stopped);
    /// ledger.receive(stopped, 900_000, Moment::START);
    /// let later = Moment::START + Span::from_secs(2);
    /// assert_eq!(ledger.make_room(100_000, later), Some(stopped));
    /// assert_eq!(ledger.make_room(100_000, later), None);
    /// assert!(ledger.admits(100_000));
    /// ```
    pub fn make_room(&mut self, bytes: usize, now: clock::Moment) -> Option<Id> {
        if self.admits(bytes) {
            return None;
        }
        let settings = self.settings;
        self.cut_idle(now, |holder| {
            if holder.is_uploading { settings.upload_patience } else { settings.download_patience }
        })
    }

    /// Adds a holder, with the bytes that count for each request.
    pub fn open(&mut self, now: clock::Moment) -> Id {
        let id = self.next;
        self.next += 1;
        let kept = self.settings.request_bytes;
        self.held += kept;
        let holder =
            Holder { kept, waiting: 0, is_uploading: false, sent: 0, active: now, is_cut: false };
        self.holders.insert(id, holder);
        id
    }

    /// Records that the caller begins to send its body.
    pub fn upload(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_uploading = true;
        }
    }

    /// Removes a holder with all that it holds.
    pub fn close(&mut self, id: Id) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.held();
        }
    }

    /// Adds bytes that are kept until they are released or the request ends.
    pub fn keep(&mut self, id: Id, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.kept += bytes;
            self.held += bytes;
        }
    }

    /// Removes bytes that were kept.
    pub fn release(&mut self, id: Id, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let released = bytes.min(holder.kept);
            holder.kept -= released;
            self.held -= released;
        }
    }

    /// Adds bytes that wait for the caller.
    pub fn wait(&mut self, id: Id, bytes: usize, now: clock::Moment) {
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.waiting == 0 {
                holder.active = now;
            }
            holder.waiting += bytes;
            self.held += bytes;
        }
    }

    /// Removes bytes that the caller has taken. Returns how many still wait.
    pub fn take(&mut self, id: Id, bytes: usize, now: clock::Moment) -> usize {
        let Some(holder) = self.holders.get_mut(&id) else { return 0 };
        let taken = bytes.min(holder.waiting);
        holder.waiting -= taken;
        holder.active = now;
        self.held -= taken;
        holder.waiting
    }

    /// Records that the caller sent further bytes, which are added to those that wait.
    pub fn receive(&mut self, id: Id, bytes: usize, now: clock::Moment) {
        self.wait(id, bytes, now);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.sent += bytes;
            if holder.sent >= self.settings.min_progress {
                holder.sent = 0;
                holder.active = now;
            }
        }
    }

    /// Keeps what has waited for the caller: its body is complete.
    pub fn complete(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_uploading = false;
            holder.kept += std::mem::take(&mut holder.waiting);
        }
    }

    /// Whether a stream has been read ahead of its caller as far as it may be now.
    pub fn is_ahead(&self, id: Id) -> bool {
        let settings = &self.settings;
        let limit = if self.is_over() { settings.short_read_ahead } else { settings.read_ahead };
        self.waiting(id) > limit
    }

    /// Returns how many bytes wait for the caller.
    pub fn waiting(&self, id: Id) -> usize {
        self.holders.get(&id).map_or(0, |holder| holder.waiting)
    }

    /// Whether more is held than may be.
    pub fn is_over(&self) -> bool {
        self.held() > self.bound
    }

    /// Whether more is held than may be, without what is about to be released.
    pub fn is_short(&self) -> bool {
        self.lasting() > self.bound
    }

    /// Returns the bytes that are held without those that are about to be released.
    fn lasting(&self) -> usize {
        let cut = self.holders.values().filter(|holder| holder.is_cut);
        self.held() - cut.map(Holder::held).sum::<usize>()
    }

    /// Chooses the holder that gives way, if more is held than may be: the one without progress for
    /// the longest time. `None` if what is about to be released is enough, or if all make progress.
    pub fn cut(&mut self, now: clock::Moment) -> Option<Id> {
        if !self.is_over() || !self.is_short() {
            return None;
        }
        let min_idle = self.settings.min_idle;
        self.cut_idle(now, |_| min_idle)
    }

    /// Cuts off the holder that has waited for its caller for the longest time, and for at least its
    /// `patience`.
    fn cut_idle<Patience>(&mut self, now: clock::Moment, patience: Patience) -> Option<Id>
    where
        Patience: Fn(&Holder) -> clock::Span,
    {
        let little = self.settings.short_read_ahead;
        let idle = self.holders.iter_mut().filter(|(_, holder)| {
            let is_idle = now.since(holder.active) >= patience(holder);
            !holder.is_cut && holder.waits_for_caller() && is_idle
        });
        let (id, holder) =
            idle.min_by_key(|(id, holder)| (holder.waiting <= little, holder.active, **id))?;
        holder.is_cut = true;
        Some(*id)
    }
}
