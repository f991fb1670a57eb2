//! The asking side: connects to an upstream through another host.

use std::fmt;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

use bytes::Buf;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use rand::Rng;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::message;
use crate::event;
use crate::relay;
use crate::state;
use crate::tcp;

/// Time within which another host opens the connection: hosts and upstreams are some milliseconds
/// apart, and a host that lost power does not answer at all.
const ASK_TIMEOUT: clock::Span = clock::Span::from_millis(150);
/// Part of [`ASK_TIMEOUT`] that the other host does not have for its own connection: the way to it
/// and back.
const ASK_RESERVE: clock::Span = clock::Span::from_millis(50);
/// Maximum number of hosts that are asked for one connection.
const MAX_HOSTS: usize = 4;
/// Maximum number of bytes in one message of a tunnel.
pub(super) const MAX_CHUNK: usize = 16 << 10;

/// A connection to an upstream through another host.
#[derive(Debug)]
pub(crate) struct Tunnel {
    connection: relay::Connection,
    host: id::Host,
    unread: bytes::BytesMut,
    ended: bool,
}

/// Why no host opened the connection.
#[derive(Debug, Default)]
pub(crate) struct Failure {
    /// Answers of the hosts that were asked.
    answers: Vec<(id::Host, message::Outcome)>,
    /// Hosts that did not answer.
    mute: Vec<id::Host>,
    /// Whether other hosts are known that are cut off too.
    others_cut_off: bool,
}

impl Failure {
    /// Returns what the answers say of the upstream.
    pub(super) fn verdict(&self) -> super::Verdict {
        let says = |outcome| self.answers.iter().any(|(_, answer)| *answer == outcome);
        let outdated =
            [message::Outcome::Left, message::Outcome::NotAllowed, message::Outcome::Evacuated];
        if outdated.into_iter().any(says) {
            super::Verdict::Outdated
        } else if says(message::Outcome::BackedOff) {
            super::Verdict::BackedOff
        } else if says(message::Outcome::Refused) {
            super::Verdict::Refused
        } else if says(message::Outcome::Silent) {
            super::Verdict::Silent
        } else {
            super::Verdict::Unknown
        }
    }

    /// Whether no other host had anything to say of the upstream, so that only a direct connection
    /// can tell. If others are cut off too, it would hardly open.
    pub(super) fn is_unasked(&self) -> bool {
        self.verdict() == super::Verdict::Unknown && !self.others_cut_off
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.answers.is_empty() && self.mute.is_empty() {
            let why = if self.others_cut_off { "reaches an upstream" } else { "could be asked" };
            return write!(f, "no other host {why}");
        }
        let answers = self.answers.iter().map(|(host, answer)| (host, answer.as_str()));
        let mute = self.mute.iter().map(|host| (host, "no answer"));
        for (number, (host, what)) in answers.chain(mute).enumerate() {
            let separator = if number == 0 { "through " } else { ", " };
            write!(f, "{separator}{host}: {what}")?;
        }
        Ok(())
    }
}

/// Connects to `entry` through one host after another.
///
/// # Errors
///
/// What the hosts answered that were asked within `timeout`.
pub(super) async fn connect(
    state: &state::State,
    entry: &routing::Registration,
    purpose: super::Purpose,
    timeout: time::Duration,
) -> Result<Tunnel, Failure> {
    let began = state.clock.now();
    let mut failure = Failure::default();
    // Hosts that must not carry the connection are passed over as if they had been asked.
    let mut passed = match &purpose {
        super::Purpose::Request(_, homes) => state.barred_hosts(homes),
        super::Purpose::Call(_) => Vec::new(),
    };
    let most = passed.len() + MAX_HOSTS;
    while passed.len() < most {
        let now = state.clock.now();
        let left = timeout.saturating_sub(now.since(began)).min(ASK_TIMEOUT);
        let random = rand::rng().random();
        let choice = state::lock(&state.paths).choose_host(&entry.zone, &passed, now, random);
        let host = match choice {
            routing::PathChoice::Host(host) if left > ASK_RESERVE => host,
            routing::PathChoice::Host(_) | routing::PathChoice::None => break,
            routing::PathChoice::AllCutOff => {
                failure.others_cut_off = true;
                break;
            }
        };
        passed.push(host.clone());
        let open = open(state, entry, &purpose, left.saturating_sub(ASK_RESERVE));
        let answered = tokio::time::timeout(left, ask(state, &host, open)).await;
        let outcome = match answered.map_err(|_| io::Error::from(io::ErrorKind::TimedOut)) {
            Ok(Ok((message::Outcome::Opened, connection))) => {
                state.metrics.count_tunnel("asked", message::Outcome::Opened.as_str());
                *state::lock(&state.last_host_through) = Some(host.clone());
                let unread = bytes::BytesMut::new();
                return Ok(Tunnel { connection, host, unread, ended: false });
            }
            Ok(Ok((outcome, _))) => outcome,
            Ok(Err(error)) | Err(error) => {
                state::lock(&state.paths).skip_host(&host, state.clock.now());
                // The host was asked for a connection and did not answer.
                event::Line::new("host_not_asked").text("host", &host).text("error", error).info();
                failure.mute.push(host);
                continue;
            }
        };
        state.metrics.count_tunnel("asked", outcome.as_str());
        failure.answers.push((host, outcome));
        if is_certain(outcome) {
            break;
        }
    }
    Err(failure)
}

/// Whether no other host has to be asked. One that says that an upstream does not respond may have
/// met a lost packet.
fn is_certain(outcome: message::Outcome) -> bool {
    match outcome {
        message::Outcome::Opened
        | message::Outcome::Refused
        | message::Outcome::Left
        | message::Outcome::NotAllowed
        | message::Outcome::Evacuated
        | message::Outcome::BackedOff => true,
        message::Outcome::Silent
        | message::Outcome::CutOff
        | message::Outcome::PathLost
        | message::Outcome::Unavailable
        | message::Outcome::Unspecified => false,
    }
}

fn open(
    state: &state::State,
    entry: &routing::Registration,
    purpose: &super::Purpose,
    timeout: time::Duration,
) -> message::Open {
    let admission = match purpose {
        super::Purpose::Request(admission, _) => Some(admission.clone()),
        super::Purpose::Call(_) => None,
    };
    message::Open {
        upstream: entry.upstream.to_string(),
        life: entry.started_ms,
        timeout_ms: crate::message::to_millis(timeout),
        admission,
        service: entry.service.to_string(),
        host: state.settings.node.host.to_string(),
        running: matches!(purpose, super::Purpose::Call(routing::Work::Running)),
    }
}

/// Asks `host` for a connection, and notes what it says of its own paths.
async fn ask(
    state: &state::State,
    host: &id::Host,
    open: message::Open,
) -> io::Result<(message::Outcome, relay::Connection)> {
    let address = state::lock(&state.host_addresses).get(host).copied();
    let address: net::SocketAddr =
        address.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "its address is unknown"))?;
    let mut connection = relay::framed(tcp::connect(address, ASK_TIMEOUT).await?);
    connection.send(relay::encode_open(open)).await?;
    let frame = connection.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let answer = relay::decode_answer(frame)?;
    let outcome = answer.outcome();
    let now = state.clock.now();
    let mut paths = state::lock(&state.paths);
    match outcome {
        message::Outcome::CutOff => {
            paths.record_sight(host, Some(routing::Sight::CutOff), now);
            if let Some(elsewhere) = answer.elsewhere {
                paths.record_sight(
                    &id::Host::from(elsewhere.as_str()),
                    Some(routing::Sight::Reaches),
                    now,
                );
            }
        }
        message::Outcome::Opened | message::Outcome::Refused | message::Outcome::Silent => {
            paths.record_sight(host, Some(routing::Sight::Reaches), now);
        }
        message::Outcome::Unspecified | message::Outcome::Unavailable => paths.skip_host(host, now),
        // Answered before the host tried any path.
        message::Outcome::Left
        | message::Outcome::NotAllowed
        | message::Outcome::Evacuated
        | message::Outcome::PathLost
        | message::Outcome::BackedOff => {}
    }
    Ok((outcome, connection))
}

impl Tunnel {
    /// Returns the host through which the connection goes.
    pub(crate) fn host(&self) -> &id::Host {
        &self.host
    }

    /// Reads the next message once the last one has been used up.
    fn poll_message(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.ended {
            match task::ready!(pin::Pin::new(&mut self.connection).poll_next(context)) {
                Some(Ok(chunk)) if chunk.is_empty() => self.ended = true,
                Some(Ok(chunk)) => self.unread = chunk,
                Some(Err(error)) => return task::Poll::Ready(Err(error)),
                // Without the message that marks the end, what came may be cut.
                None => return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let tunnel = self.get_mut();
        task::ready!(tunnel.poll_message(context))?;
        let length = tunnel.unread.len().min(buffer.remaining());
        buffer.put_slice(&tunnel.unread[..length]);
        tunnel.unread.advance(length);
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut connection = pin::Pin::new(&mut self.get_mut().connection);
        task::ready!(Sink::<bytes::Bytes>::poll_ready(connection.as_mut(), context))?;
        let chunk = &bytes[..bytes.len().min(MAX_CHUNK)];
        connection.start_send(bytes::Bytes::copy_from_slice(chunk))?;
        task::Poll::Ready(Ok(chunk.len()))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Sink::<bytes::Bytes>::poll_flush(pin::Pin::new(&mut self.get_mut().connection), context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Sink::<bytes::Bytes>::poll_close(pin::Pin::new(&mut self.get_mut().connection), context)
    }
}
