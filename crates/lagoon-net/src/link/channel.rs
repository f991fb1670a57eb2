//! A connection between two of the system's processes, after its handshake.

use std::net;
use std::time;

use futures_util::{SinkExt, StreamExt};
use lagoonline::id;
use prost::bytes::Bytes;
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::wire;

/// Bytes of a connection's nonce.
const NONCE_BYTES: usize = 16;

/// Longest time for connecting and for the handshake.
const HANDSHAKE_TIME: time::Duration = time::Duration::from_secs(2);

/// Longest time that a frame may take to leave: a peer that reads nothing is gone.
const SEND_TIME: time::Duration = time::Duration::from_secs(5);

/// Who this side is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host, or the operator's program.
    pub sender: String,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its zone.
    pub zone: id::Zone,
    /// Its part in the system.
    pub role: wire::Role,
    /// The fleet's key.
    pub key: wire::Key,
}

/// Who the other side is.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The host, or the operator's program.
    pub sender: String,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its zone; not told by the accepting side.
    pub zone: id::Zone,
    /// Its part in the system; a steward accepts.
    pub role: wire::Role,
}

/// Why a channel ended or never began.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A frame was refused, or the connection failed.
    #[error("{step} with {peer}: {source}")]
    Wire {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: net::SocketAddr,
        /// What was wrong.
        source: wire::Error,
    },
    /// The other side took too long.
    #[error("{step} with {peer}: timed out")]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: net::SocketAddr,
    },
    /// The other side closed, or did not follow the handshake.
    #[error("{step} with {peer}: closed")]
    Closed {
        /// What was being done.
        step: &'static str,
        /// The other side's address.
        peer: net::SocketAddr,
    },
}

/// A connection after its handshake.
#[derive(Debug)]
pub struct Channel {
    framed: codec::Framed<tokio_net::TcpStream, wire::Codec>,
    address: net::SocketAddr,
}

impl Channel {
    /// Connects to a steward.
    ///
    /// # Errors
    ///
    /// As [`Error`] says; the step is `connect`.
    pub async fn connect(
        address: net::SocketAddr,
        identity: &Identity,
    ) -> Result<(Self, Peer), Error> {
        let timeout = Error::Timeout { step: "connect", peer: address };
        let begin = begin_connect(address, identity);
        tokio::time::timeout(HANDSHAKE_TIME, begin).await.map_err(|_| timeout)?
    }

    /// Does the accepting side of the handshake.
    ///
    /// # Errors
    ///
    /// As [`Error`] says; the step is `accept`.
    pub async fn accept(
        stream: tokio_net::TcpStream,
        address: net::SocketAddr,
        identity: &Identity,
    ) -> Result<(Self, Peer), Error> {
        let timeout = Error::Timeout { step: "accept", peer: address };
        let begin = begin_accept(stream, address, identity);
        tokio::time::timeout(HANDSHAKE_TIME, begin).await.map_err(|_| timeout)?
    }

    /// The next frame. May be dropped and called again.
    ///
    /// # Errors
    ///
    /// As [`Error`] says; the step is `receive`.
    pub async fn receive(&mut self) -> Result<wire::Frame, Error> {
        let (step, peer) = ("receive", self.address);
        match self.framed.next().await {
            None => Err(Error::Closed { step, peer }),
            Some(frame) => frame.map_err(|source| Error::Wire { step, peer, source }),
        }
    }

    /// Sends a message. Must not be dropped before it ends, unless the channel is dropped too.
    ///
    /// # Errors
    ///
    /// As [`Error`] says; the step is `send`.
    pub async fn send(&mut self, body: wire::Body) -> Result<(), Error> {
        let (step, peer) = ("send", self.address);
        let sent = tokio::time::timeout(SEND_TIME, self.framed.send(body)).await;
        let sent = sent.map_err(|_| Error::Timeout { step, peer })?;
        sent.map_err(|source| Error::Wire { step, peer, source })
    }
}

fn framed(
    stream: tokio_net::TcpStream,
    identity: &Identity,
) -> (codec::Framed<tokio_net::TcpStream, wire::Codec>, Bytes) {
    // Small frames must not wait for one another.
    let _ = stream.set_nodelay(true);
    let nonce = Bytes::copy_from_slice(&rand::random::<[u8; NONCE_BYTES]>());
    let (key, sender) = (identity.key.clone(), identity.sender.clone());
    let codec = wire::Codec::new(key, sender, identity.incarnation.0, nonce.clone());
    (codec::Framed::new(stream, codec), nonce)
}

async fn begin_connect(
    address: net::SocketAddr,
    identity: &Identity,
) -> Result<(Channel, Peer), Error> {
    let (step, peer) = ("connect", address);
    let stream = tokio_net::TcpStream::connect(address).await;
    let stream = stream.map_err(|error| Error::Wire { step, peer, source: error.into() })?;
    let (framed, nonce) = framed(stream, identity);
    let mut channel = Channel { framed, address };
    let first = channel.receive().await?;
    let Some(wire::Body::Challenge(_)) = first.body else {
        return Err(Error::Closed { step, peer });
    };
    let zone = identity.zone.to_string();
    let hello = wire::Hello { role: identity.role.into(), zone, nonce };
    channel.send(wire::Body::Hello(hello)).await?;
    let other = Peer {
        sender: first.sender,
        incarnation: id::Incarnation(first.incarnation),
        zone: id::Zone::default(),
        role: wire::Role::Steward,
    };
    Ok((channel, other))
}

async fn begin_accept(
    stream: tokio_net::TcpStream,
    address: net::SocketAddr,
    identity: &Identity,
) -> Result<(Channel, Peer), Error> {
    let (framed, nonce) = framed(stream, identity);
    let mut channel = Channel { framed, address };
    channel.send(wire::Body::Challenge(wire::Challenge { nonce })).await?;
    let first = channel.receive().await?;
    let Some(wire::Body::Hello(hello)) = first.body else {
        return Err(Error::Closed { step: "accept", peer: address });
    };
    let other = Peer {
        sender: first.sender,
        incarnation: id::Incarnation(first.incarnation),
        role: hello.role(),
        zone: id::Zone::from(hello.zone),
    };
    Ok((channel, other))
}
