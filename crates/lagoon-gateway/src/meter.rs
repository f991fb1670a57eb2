//! A connection whose received bytes are checked against the bounds of
//! [`lagoonline::load::progress`] before the HTTP library sees them.
//!
//! It costs a comparison and an addition for each read, and a pass over the bytes of a head. It has
//! no timers.

use std::io;
use std::pin;
use std::sync;
use std::task;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::load::progress;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::state;

/// What is known of the bytes of one connection, shared by the connection and its user.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    clock: crate::BootClock,
    watch: sync::Arc<sync::Mutex<Watch>>,
}

#[derive(Debug, Default)]
struct Watch {
    progress: progress::Connection,
    violation: Option<progress::Violation>,
}

impl Meter {
    /// Returns the time of the meter's clock.
    pub(crate) fn now(&self) -> clock::Moment {
        self.clock.now()
    }

    /// Begins to wait for the head of an answer.
    pub(crate) fn begin_head(&self) {
        state::lock(&self.watch).progress.begin_head();
    }

    /// Records that the head is complete.
    pub(crate) fn begin_body(&self) {
        state::lock(&self.watch).progress.begin_body();
    }

    /// Records that content of the body was delivered.
    pub(crate) fn deliver(&self) {
        state::lock(&self.watch).progress.deliver();
    }

    /// Returns the bound that was exceeded.
    pub(crate) fn violation(&self) -> Option<progress::Violation> {
        state::lock(&self.watch).violation
    }

    fn receive(&self, bytes: &[u8]) -> Result<(), progress::Violation> {
        let mut watch = state::lock(&self.watch);
        let checked = watch.progress.receive(bytes, self.clock.now());
        watch.violation = checked.err().or(watch.violation);
        checked
    }
}

/// A connection whose reads are recorded by a [`Meter`] and fail once a bound is exceeded.
#[derive(Debug)]
pub(crate) struct Metered<Connection> {
    connection: Connection,
    meter: Meter,
}

impl<Connection> Metered<Connection> {
    /// Creates a metered connection.
    pub(crate) fn new(connection: Connection, meter: Meter) -> Metered<Connection> {
        Metered { connection, meter }
    }

    /// Returns the connection itself.
    pub(crate) fn into_inner(self) -> Connection {
        self.connection
    }
}

impl<Connection> AsyncRead for Metered<Connection>
where
    Connection: AsyncRead + Unpin,
{
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let metered = self.get_mut();
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut metered.connection).poll_read(context, buffer);
        task::ready!(read)?;
        let received = &buffer.filled()[before..];
        task::Poll::Ready(metered.meter.receive(received).map_err(io::Error::other))
    }
}

impl<Connection> AsyncWrite for Metered<Connection>
where
    Connection: AsyncWrite + Unpin,
{
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().connection).poll_write(context, bytes)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().connection).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().connection).poll_shutdown(context)
    }
}
