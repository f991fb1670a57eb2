//! The listening side of a port: a dead process has none, and its connections are gone.
//!
//! A caller whose connection is refused has proof that nothing ran, which a connection that breaks
//! after a request was written does not give.

use std::io;
use std::net;
use std::os::fd;
use std::sync;
use std::time;

use ntex::io as wire;
use tokio::runtime;
use tokio::sync::watch;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time for which connections outlive their process: that in which the answer to the switch that
/// ends it goes out.
const LAST: time::Duration = time::Duration::from_millis(20);

/// A port that can be closed and opened.
#[derive(Debug)]
pub(crate) struct Gate {
    /// The listening socket, once it is bound; as a stream, because only that can be shut down.
    socket: sync::OnceLock<(net::TcpStream, net::SocketAddr)>,
    open: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Self {
        Gate { socket: sync::OnceLock::new(), open: watch::Sender::new(true) }
    }
}

impl Gate {
    /// The gate of `listener` from now on.
    ///
    /// # Errors
    ///
    /// The process has no file descriptor left.
    pub(crate) fn hold(&self, listener: &net::TcpListener) -> io::Result<()> {
        let socket: fd::OwnedFd = listener.try_clone()?.into();
        // A gate holds one port for life; a second one would be ignored.
        let _ = self.socket.set((net::TcpStream::from(socket), listener.local_addr()?));
        Ok(())
    }

    /// Refuses new connections and ends those there are, or accepts again.
    pub(crate) fn set(&self, open: bool) {
        if self.open.send_replace(open) == open {
            return;
        }
        let done = match self.socket.get() {
            Some((socket, address)) if open => listen(socket, *address),
            // Linux stops listening at the socket, and takes it up again by another `listen`.
            Some((socket, _)) => socket.shutdown(net::Shutdown::Both),
            None => Ok(()),
        };
        if let Err(error) = done {
            log::error!(
                "a stand-in's port could not be {}: {error}",
                if open { "opened" } else { "closed" }
            );
        }
    }

    /// Ends `connection` when the port closes; returns when either is over.
    pub(crate) async fn watch(&self, connection: wire::IoRef) {
        let mut open = self.open.subscribe();
        // What `wait_for` gives back locks the state of the port. Kept over the sleep below, it
        // stops the next switch, and with it each new connection of this thread, for good.
        // The sender lives as long as this gate, so the wait ends only by a change.
        let closed = async { drop(open.wait_for(|open| !open).await) };
        tokio::select! {
            () = closed => {
                tokio::time::sleep(LAST).await;
                connection.terminate();
            }
            _ = connection.on_disconnect() => {}
        }
    }
}

fn listen(socket: &net::TcpStream, address: net::SocketAddr) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
    let socket = tokio::net::TcpSocket::from_std_stream(socket.try_clone()?);
    let listening = {
        let _entered = runtime.enter();
        // A port that the kernel chose is given up with the listening, and must be bound again; one
        // that was named is still bound, which is what an error says here.
        let _ = socket.bind(address);
        // Only the side effect on the shared socket is wanted; its owner goes on accepting.
        socket.listen(BACKLOG).map(drop)
    };
    // This may run on a thread that serves HTTP, which must not wait for a runtime to end.
    runtime.shutdown_background();
    listening
}
