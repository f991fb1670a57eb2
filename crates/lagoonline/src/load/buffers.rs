//! How many bytes a host may hold for callers and upstreams, and who gives way at that bound.
//!
//! Load pattern: hundreds of callers ask for streams and read nothing, or send bodies a byte a
//! second, while upstreams answer at full speed. What is held for them grows until the process is
//! killed, together with all requests of callers that do read. Stopping the upstreams instead does
//! not help: they abort answers that stay unread for some seconds.
//!
//! So an answer is read ahead of its caller, up to [`Settings::read_ahead`], while memory lasts, and
//! up to [`Settings::short_read_ahead`] once it does not. New
//! requests are refused while less is left than one of them may need. If that is not enough, the
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
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            process_bytes: 48 << 20,
            share: 0.6,
            min_share: 0.25,
            request_bytes: 32 << 10,
            read_ahead: 1 << 20,
            short_read_ahead: 32 << 10,
            min_idle: clock::Span::from_millis(500),
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
    /// When the caller last took or sent some, or when the first of them began to wait.
    active: clock::Moment,
    /// Whether it was cut off, and what it holds is about to be released.
    is_cut: bool,
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
    next: Id,
    holders: collections::HashMap<Id, Holder>,
}

impl Ledger {
    /// Creates a ledger of at most `bound` bytes.
    pub fn new(settings: Settings, bound: usize) -> Ledger {
        Ledger { settings, bound, held: 0, next: 0, holders: collections::HashMap::new() }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the bytes that may be held.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Whether a request may begin that needs up to `bytes` bytes.
    pub fn admits(&self, bytes: usize) -> bool {
        self.held + bytes + self.settings.request_bytes <= self.bound
    }

    /// Adds a holder, with the bytes that count for each request.
    pub fn open(&mut self, now: clock::Moment) -> Id {
        let id = self.next;
        self.next += 1;
        let kept = self.settings.request_bytes;
        self.held += kept;
        self.holders.insert(id, Holder { kept, waiting: 0, active: now, is_cut: false });
        id
    }

    /// Removes a holder with all that it holds.
    pub fn close(&mut self, id: Id) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.kept + holder.waiting;
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
            holder.active = now;
        }
    }

    /// Keeps what has waited for the caller: its body is complete.
    pub fn complete(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
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
        self.held > self.bound
    }

    /// Whether more is held than may be, without what is about to be released.
    pub fn is_short(&self) -> bool {
        let cut = self.holders.values().filter(|holder| holder.is_cut);
        let released: usize = cut.map(|holder| holder.kept + holder.waiting).sum();
        self.held - released > self.bound
    }

    /// Chooses the holder that gives way, if more is held than may be: the one that has taken
    /// nothing for the longest time. `None` if what is about to be released is enough, or if all
    /// make progress.
    pub fn cut(&mut self, now: clock::Moment) -> Option<Id> {
        if !self.is_over() || !self.is_short() {
            return None;
        }
        let idle = |holder: &Holder| now.since(holder.active) >= self.settings.min_idle;
        let slow = self.holders.iter_mut();
        let slow = slow.filter(|(_, holder)| !holder.is_cut && holder.waiting > 0 && idle(holder));
        let little = self.settings.short_read_ahead;
        let (id, holder) =
            slow.min_by_key(|(id, holder)| (holder.waiting <= little, holder.active, **id))?;
        holder.is_cut = true;
        Some(*id)
    }
}
