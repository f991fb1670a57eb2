//! A connection to an upstream, by either way.

use std::io;
use std::pin;
use std::task;

use lagoonline::id;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::through;
use crate::metrics;

/// An open connection.
#[derive(Debug)]
pub(crate) enum Connection {
    Direct(TcpStream),
    Tunnel(Box<through::Tunnel>),
}

impl Connection {
    /// Returns the host through which it goes, if it is not direct.
    pub(crate) fn through(&self) -> Option<&id::Host> {
        match self {
            Connection::Direct(_) => None,
            Connection::Tunnel(tunnel) => Some(tunnel.host()),
        }
    }

    pub(super) fn label(&self) -> metrics::PathLabel {
        match self {
            Connection::Direct(_) => metrics::PathLabel::Direct,
            Connection::Tunnel(_) => metrics::PathLabel::Through,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => pin::Pin::new(stream).poll_read(context, buffer),
            Connection::Tunnel(tunnel) => pin::Pin::new(tunnel).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        match self.get_mut() {
            Connection::Direct(stream) => pin::Pin::new(stream).poll_write(context, bytes),
            Connection::Tunnel(tunnel) => pin::Pin::new(tunnel).poll_write(context, bytes),
        }
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => pin::Pin::new(stream).poll_flush(context),
            Connection::Tunnel(tunnel) => pin::Pin::new(tunnel).poll_flush(context),
        }
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Direct(stream) => pin::Pin::new(stream).poll_shutdown(context),
            Connection::Tunnel(tunnel) => pin::Pin::new(tunnel).poll_shutdown(context),
        }
    }
}
