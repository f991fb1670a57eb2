//! TCP options of the process's connections.
//!
//! A peer that lost power or is cut off neither answers nor resets its connections, which would
//! hang for minutes. Unacknowledged bytes break a connection after [`UNACKNOWLEDGED_TIMEOUT`], and
//! keepalive probes detect a dead peer on a connection that waits for an answer. Linux applies that
//! timeout to unanswered probes too, whatever their number: a peer may be silent for somewhat less
//! than [`UNACKNOWLEDGED_TIMEOUT`], and is given up at the next probe.

use std::io;
use std::net;
use std::time;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Maximum time without an acknowledgement. Links lose packets, and a sender retransmits three
/// times within this.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes that break the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Connects within `timeout`.
///
/// # Errors
///
/// The connection failed; nothing was sent.
pub(crate) async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the TCP options of a connection.
///
/// # Errors
///
/// The connection is closed.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
