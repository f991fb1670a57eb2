//! Requests of which nothing shows that their upstream has read them. It may read them later, so that
//! their retries count on, see [`lagoonline::load::retry`].
//!
//! Only the connection on which a request was sent tells. It is kept after the request was given up, and
//! its writing side is closed, so that the upstream learns that nobody waits for the answer. Bytes that
//! come back then, or an end in order, show that the upstream has read the request: a system that closes
//! a connection with unread bytes resets it. A reset shows nothing: it may come from something in
//! between, and what had arrived stays readable.

use std::io;
use std::mem;
use std::sync;

use lagoonline::clock;
use lagoonline::id;
use tokio::net::TcpStream;
use tokio::runtime;

use crate::exchange;
use crate::forward;
use crate::path;
use crate::payload;
use crate::state;

/// Time for which a connection is kept that shows nothing. An upstream that is stuck for longer is
/// not expected to go on.
const MAX_OBSERVATION: clock::Span = clock::Span::from_secs(120);
/// Time for which a request may be read whose connection cannot be observed any more: it was reset, or it
/// went through another host, which passes on what it holds, but not how the connection beyond it ends.
const MAX_UNOBSERVED: clock::Span = clock::Span::from_secs(30);

/// What was sent of a request.
#[derive(Debug, Default)]
pub(crate) struct Sends(sync::Mutex<Record>);

#[derive(Debug, Default)]
struct Record {
    /// Sends of which nothing shows that they were read.
    unread: u32,
    /// Identifies the request in the budget; `None` until it is retried, since what upstreams read
    /// until then is its first.
    number: Option<u64>,
    /// Connections on which it was given up before it was retried.
    given_up: Vec<Remnant>,
    /// How the last send ended that may still be read, until that is looked into.
    unread_end: Option<UnreadEnd>,
}

/// How a send ended that may still be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnreadEnd {
    /// It was given up while its connection was open.
    GivenUp,
    /// Its connection was reset.
    Reset,
}

impl Sends {
    /// Takes how the last send ended that may still be read; `None` if there is none.
    pub(crate) fn take_unread_end(&self) -> Option<UnreadEnd> {
        state::lock(&self.0).unread_end.take()
    }
}

/// A connection on which a request was given up.
#[derive(Debug)]
enum Remnant {
    /// Its writing side is closed.
    Open(TcpStream),
    /// It has ended for this host, which shows nothing of the upstream's end of it.
    Unobserved,
}

impl Remnant {
    fn new(connection: path::Connection) -> Remnant {
        match connection {
            path::Connection::Direct(stream) => {
                // Fails if the connection has ended, which is then seen when it is read.
                drop(socket2::SockRef::from(&stream).shutdown(std::net::Shutdown::Write));
                Remnant::Open(stream)
            }
            path::Connection::Tunnel(_) => Remnant::Unobserved,
        }
    }

    /// Waits until the connection shows that the request was read. Returns false if it shows nothing for
    /// so long that the request is taken for lost.
    async fn wait(self) -> bool {
        if let Remnant::Open(stream) = self {
            match tokio::time::timeout(MAX_OBSERVATION, until_readable(&stream)).await {
                Ok(Ok(())) => return true,
                Ok(Err(_reset)) => {}
                Err(_elapsed) => return false,
            }
        }
        tokio::time::sleep(MAX_UNOBSERVED).await;
        false
    }
}

/// Waits until `stream` has bytes or ends in order.
///
/// # Errors
///
/// It is reset.
async fn until_readable(stream: &TcpStream) -> io::Result<()> {
    loop {
        stream.readable().await?;
        match stream.try_read(&mut [0]) {
            Ok(_) => return Ok(()),
            // It may be reported as readable though it is not.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// A request that is sent to an upstream. Unless [`Sent::read`] is called, the upstream may read it
/// after this is dropped.
#[derive(Debug)]
pub(crate) struct Sent<'a> {
    admitted: &'a forward::Admitted,
    exchange: &'a mut exchange::Exchange,
    is_read: bool,
}

impl<'a> Sent<'a> {
    /// Records that the request is sent on `exchange`.
    pub(crate) fn new(
        admitted: &'a forward::Admitted,
        exchange: &'a mut exchange::Exchange,
        is_retry: bool,
    ) -> Sent<'a> {
        admitted.record_sent(is_retry);
        Sent { admitted, exchange, is_read: false }
    }

    /// Sends the request and waits for the head of its answer, see [`exchange::Exchange::send`].
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<payload::Payload>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, exchange::Failure> {
        self.exchange.send(request).await
    }

    /// Records that the upstream has read the request.
    pub(crate) fn read(mut self) {
        self.is_read = true;
        self.admitted.record_read();
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if self.is_read {
            return;
        }
        match self.exchange.take_connection() {
            Some(connection) => {
                self.admitted.record_given_up(UnreadEnd::GivenUp, Remnant::new(connection));
            }
            None if self.exchange.is_reset() => {
                self.admitted.record_given_up(UnreadEnd::Reset, Remnant::Unobserved);
            }
            // It was closed in order, or its bytes were no answer.
            None => self.admitted.record_read(),
        }
    }
}

impl forward::Admitted {
    /// Records that the request is sent to an upstream.
    fn record_sent(&self, is_retry: bool) {
        let mut sends = state::lock(&self.sends.0);
        sends.unread += 1;
        if !is_retry {
            return;
        }
        let number = *sends.number.get_or_insert_with(|| self.state.next_dispatch_id().number);
        let (unread, given_up) = (sends.unread, mem::take(&mut sends.given_up));
        drop(sends);
        self.state.with_budget(&self.service, |budget, now| {
            budget.record_unread(number, unread, now);
        });
        given_up.into_iter().for_each(|remnant| self.observe(remnant, number));
    }

    /// Records that an upstream has read the request, or never will.
    fn record_read(&self) {
        let mut sends = state::lock(&self.sends.0);
        sends.unread = sends.unread.saturating_sub(1);
        let number = sends.number;
        drop(sends);
        if let Some(number) = number {
            self.state.with_budget(&self.service, |budget, now| budget.settle_unread(number, now));
        }
    }

    /// Records that a send ended and may still be read.
    fn record_given_up(&self, end: UnreadEnd, remnant: Remnant) {
        let mut sends = state::lock(&self.sends.0);
        sends.unread_end = Some(end);
        match sends.number {
            Some(number) => {
                drop(sends);
                self.observe(remnant, number);
            }
            None => sends.given_up.push(remnant),
        }
    }

    /// Waits in the background until `remnant` shows that the send of request `number` was read.
    fn observe(&self, remnant: Remnant, number: u64) {
        // There is none while the process ends.
        let Ok(runtime) = runtime::Handle::try_current() else { return };
        let (state, service) = (self.state.clone(), self.service.clone());
        runtime.spawn(observe(state, service, remnant, number));
    }
}

async fn observe(
    state: sync::Arc<state::State>,
    service: id::Service,
    remnant: Remnant,
    number: u64,
) {
    let is_read = remnant.wait().await;
    state.with_budget(&service, |budget, now| {
        if is_read {
            budget.settle_unread(number, now);
        } else {
            budget.forget_unread(number);
        }
    });
}
