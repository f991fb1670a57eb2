//! Listening socket that can be closed and reopened, to simulate a process that is down.
//!
//! A refused connection proves to the caller that nothing ran. A connection that breaks after the
//! request was written does not.

use std::io;
use std::net;
use std::os::fd;
use std::sync;
use std::time;

use ntex::io as ntex_io;
use tokio::runtime;
use tokio::sync::watch;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Delay before open connections are closed, so that the response to the call that sets `down` can
/// be sent.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(20);

/// A listening socket, and whether it is open.
#[derive(Debug)]
pub(crate) struct Listener {
    /// The bound socket and its address. Held as a stream because the standard library can shut
    /// down only streams.
    socket: sync::OnceLock<(net::TcpStream, net::SocketAddr)>,
    /// Whether the port accepts connections.
    open: watch::Sender<bool>,
}

impl Default for Listener {
    fn default() -> Self {
        Listener { socket: sync::OnceLock::new(), open: watch::Sender::new(true) }
    }
}

impl Listener {
    /// Attaches the bound socket that `set_open` closes and reopens.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be duplicated, as when no file descriptor is left.
    pub(crate) fn attach(&self, listener: &net::TcpListener) -> io::Result<()> {
        let socket: fd::OwnedFd = listener.try_clone()?.into();
        // Only one socket is ever attached; a second one would be ignored.
        let _ = self.socket.set((net::TcpStream::from(socket), listener.local_addr()?));
        Ok(())
    }

    /// Closes the port and its connections, or opens the port again.
    pub(crate) fn set_open(&self, open: bool) {
        if self.open.send_replace(open) == open {
            return;
        }
        let result = match self.socket.get() {
            Some((socket, address)) if open => listen(socket, *address),
            // On Linux, `shutdown` stops listening, and another `listen` resumes it.
            Some((socket, _)) => socket.shutdown(net::Shutdown::Both),
            None => Ok(()),
        };
        if let Err(error) = result {
            log::error!(
                "a stand-in's port could not be {}: {error}",
                if open { "opened" } else { "closed" }
            );
        }
    }

    /// Closes `connection` when the port closes. Returns when the connection has ended.
    pub(crate) async fn watch_connection(&self, connection: ntex_io::IoRef) {
        let mut open = self.open.subscribe();
        // `wait_for` returns a guard that locks the state of the port, so it is dropped at once.
        // Held over the sleep below, it would block the next change of the state and then every
        // new connection on this thread, which is a permanent deadlock. The sender lives as long as
        // `self`, so the wait ends only with a change.
        let closed = async { drop(open.wait_for(|open| !open).await) };
        tokio::select! {
            () = closed => {
                tokio::time::sleep(CLOSE_DELAY).await;
                connection.terminate();
            }
            _ = connection.on_disconnect() => {}
        }
    }
}

/// Resumes listening on a socket that was shut down.
fn listen(socket: &net::TcpStream, address: net::SocketAddr) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
    let socket = tokio::net::TcpSocket::from_std_stream(socket.try_clone()?);
    let result = {
        let _entered = runtime.enter();
        // The shutdown releases a port that the kernel chose, so it must be bound again. A port
        // that was given explicitly is still bound; `bind` then fails, which is ignored.
        let _ = socket.bind(address);
        // Only the effect on the shared socket is needed; the server continues to accept on it.
        socket.listen(BACKLOG).map(drop)
    };
    // This may run on a thread that serves HTTP, which must not block until a runtime ends.
    runtime.shutdown_background();
    result
}
