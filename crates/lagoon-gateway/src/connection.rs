//! The callers' connections of one server thread: how many may be open, which give way to new ones,
//! and what those without a request hold.

use std::cell;
use std::collections;
use std::rc;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use ntex::io;

use crate::upload;

/// A connection and the number of requests in progress on it.
#[derive(Debug)]
struct Connection {
    io: io::IoRef,
    requests: usize,
    /// Whether a request has arrived on it.
    is_used: bool,
    /// When it was accepted or its last request ended.
    idle_since: clock::Moment,
}

impl Connection {
    fn is_idle(&self) -> bool {
        self.requests == 0 && !self.io.is_closed()
    }

    /// Returns the bytes of its read buffer, which grows by whole steps.
    fn unread(&self) -> usize {
        let length = self.io.with_read_src_buf(|buffer| buffer.len());
        length.next_multiple_of(upload::READ_BUFFER)
    }
}

#[derive(Debug)]
struct Inner {
    open: collections::HashMap<io::Id, Connection>,
    /// Maximum number of open connections.
    max_open: usize,
}

/// The connections of a server thread.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    inner: rc::Rc<cell::RefCell<Inner>>,
    clock: crate::BootClock,
}

/// Guard of a request in progress on a connection.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    id: io::Id,
    connections: Connections,
}

impl Inner {
    /// Removes closed connections, which keep their buffers as long as they are known here.
    fn sweep(&mut self) {
        self.open.retain(|_, connection| !connection.io.is_closed());
    }

    /// Returns the connection that has been idle for the longest time.
    fn longest_idle(&self) -> Option<&Connection> {
        let idle = self.open.values().filter(|connection| connection.is_idle());
        idle.min_by_key(|connection| connection.idle_since)
    }
}

impl Connections {
    /// Creates the connections of a server thread, of which `max_open` may be open.
    pub(crate) fn new(clock: crate::BootClock, max_open: usize) -> Connections {
        let open = collections::HashMap::new();
        let inner = Inner { open, max_open };
        Connections { inner: rc::Rc::new(cell::RefCell::new(inner)), clock }
    }

    /// Records a connection that was accepted. If too many are open, the one that has been idle for
    /// the longest time is closed; if none is idle, the new one is. Returns whether one was.
    pub(crate) fn accept(&self, io: &io::IoRef) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        if inner.open.len() >= inner.max_open {
            inner.sweep();
        }
        let is_full = inner.open.len() >= inner.max_open;
        if is_full {
            inner.longest_idle().map_or(io, |connection| &connection.io).terminate();
            inner.sweep();
        }
        let connection =
            Connection { io: io.clone(), requests: 0, is_used: false, idle_since: now };
        inner.open.insert(io.id(), connection);
        is_full
    }

    /// Records that a request arrived on the connection `io`.
    pub(crate) fn track_request(&self, io: &io::IoRef) -> RequestGuard {
        let id = io.id();
        if let Some(connection) = self.inner.borrow_mut().open.get_mut(&id) {
            connection.requests += 1;
            connection.is_used = true;
        }
        RequestGuard { id, connections: self.clone() }
    }

    /// Closes every connection without a request in progress on which one has arrived before.
    pub(crate) fn close_idle(&self) {
        for connection in self.inner.borrow().open.values() {
            if connection.is_used && connection.requests == 0 {
                connection.io.close();
            }
        }
    }

    /// Forgets closed connections. Returns how many are open.
    pub(crate) fn sweep(&self) -> usize {
        let mut inner = self.inner.borrow_mut();
        inner.sweep();
        inner.open.len()
    }

    /// Returns the bytes that are held for heads of requests that have not arrived completely.
    pub(crate) fn heads(&self) -> usize {
        let inner = self.inner.borrow();
        let idle = inner.open.values().filter(|connection| connection.is_idle());
        idle.map(Connection::unread).sum()
    }

    /// Closes connections on which a head has not arrived completely, the longest idle ones first,
    /// until `bytes` bytes are released. Returns how many are closed.
    pub(crate) fn close_heads(&self, bytes: usize) -> usize {
        let mut inner = self.inner.borrow_mut();
        let idle = inner.open.values().filter(|connection| connection.is_idle());
        let mut idle: Vec<_> = idle
            .map(|connection| (connection.idle_since, connection.unread(), connection))
            .collect();
        idle.retain(|(_, unread, _)| *unread > 0);
        idle.sort_unstable_by_key(|(since, _, _)| *since);
        let (mut released, mut closed) = (0, 0);
        for (_, unread, connection) in idle {
            if released >= bytes {
                break;
            }
            connection.io.terminate();
            released += unread;
            closed += 1;
        }
        inner.sweep();
        closed
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.connections.clock.now();
        if let Some(connection) = self.connections.inner.borrow_mut().open.get_mut(&self.id) {
            connection.requests -= 1;
            connection.idle_since = now;
        }
    }
}
