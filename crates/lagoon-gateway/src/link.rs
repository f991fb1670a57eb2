//! Options of the process's TCP connections.
//!
//! Failure answered: a peer without power, or behind a cut link, answers nothing and resets
//! nothing; a connection to it hangs for minutes. Unacknowledged bytes break a connection after
//! [`UNACKNOWLEDGED`], and probes find a silent peer on a connection that waits for its answer.

use std::io;
use std::net;
use std::time;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time without an acknowledgement: links lose packets, and a sender repeats one three
/// times within this.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(2_500);
/// Silence before the first probe, and between probes.
const PROBE: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer that break the connection.
const PROBES: u32 = 3;

/// Connects within `timeout`.
///
/// # Errors
///
/// No connection came about; nothing was sent.
pub(crate) async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    tune(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection.
///
/// # Errors
///
/// The connection is gone.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
