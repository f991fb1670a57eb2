//! Callers' connections of one server thread: which are idle.

use std::cell;
use std::collections;
use std::rc;

use ntex::io;

/// A connection and the requests under way on it.
#[derive(Debug)]
struct Connection {
    io: io::IoRef,
    busy: usize,
}

type Open = collections::HashMap<io::Id, Connection>;

/// The connections on which a request came.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    open: rc::Rc<cell::RefCell<Open>>,
}

/// A request under way on a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Busy {
    id: io::Id,
    connections: Connections,
}

impl Connections {
    /// A request came on the connection `io`.
    pub(crate) fn busy(&self, io: &io::IoRef) -> Busy {
        let id = io.id();
        let mut open = self.open.borrow_mut();
        open.retain(|_, connection| !connection.io.is_closed());
        open.entry(id).or_insert_with(|| Connection { io: io.clone(), busy: 0 }).busy += 1;
        Busy { id, connections: self.clone() }
    }

    /// Closes each connection without a request.
    pub(crate) fn close_idle(&self) {
        for connection in self.open.borrow().values() {
            if connection.busy == 0 {
                connection.io.close();
            }
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(connection) = self.connections.open.borrow_mut().get_mut(&self.id) {
            connection.busy -= 1;
        }
    }
}
