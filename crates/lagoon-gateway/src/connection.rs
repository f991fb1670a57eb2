//! The callers' connections of one server thread, to find those that are idle.

use std::cell;
use std::collections;
use std::rc;

use ntex::io;

/// A connection and the number of requests in progress on it.
#[derive(Debug)]
struct Connection {
    io: io::IoRef,
    requests: usize,
}

type OpenConnections = collections::HashMap<io::Id, Connection>;

/// The connections on which a request has arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    open: rc::Rc<cell::RefCell<OpenConnections>>,
}

/// Guard of a request in progress on a connection.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    id: io::Id,
    connections: Connections,
}

impl Connections {
    /// Records that a request arrived on the connection `io`.
    pub(crate) fn track_request(&self, io: &io::IoRef) -> RequestGuard {
        let id = io.id();
        let mut open = self.open.borrow_mut();
        open.retain(|_, connection| !connection.io.is_closed());
        open.entry(id).or_insert_with(|| Connection { io: io.clone(), requests: 0 }).requests += 1;
        RequestGuard { id, connections: self.clone() }
    }

    /// Closes every connection without a request in progress.
    pub(crate) fn close_idle(&self) {
        for connection in self.open.borrow().values() {
            if connection.requests == 0 {
                connection.io.close();
            }
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connections.open.borrow_mut().get_mut(&self.id) {
            connection.requests -= 1;
        }
    }
}
