//! Authenticated connections between two processes of a fleet, and their handshake.

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

/// Timeout of connecting and the handshake together.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Timeout of sending one frame; a peer that reads nothing for this long is considered dead.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Identity of this side.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The host, or the operator's program.
    pub sender: String,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its zone.
    pub zone: id::Zone,
    /// Its role.
    pub role: wire::Role,
    /// The fleet's key.
    pub key: wire::Key,
}

/// Identity of the other side.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The host, or the operator's program.
    pub sender: String,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its zone; empty for the accepting side, which does not send it.
    pub zone: id::Zone,
    /// Its role; the accepting side is always a steward.
    pub role: wire::Role,
}

/// Why a channel was closed or could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A frame was rejected, or the connection failed.
    #[error("{step} with {peer}: {source}")]
    Wire {
        /// The operation: `connect`, `accept`, `receive` or `send`.
        step: &'static str,
        /// The other side's address.
        peer: net::SocketAddr,
        /// The cause.
        source: wire::Error,
    },
    /// The operation timed out.
    #[error("{step} with {peer}: timed out")]
    Timeout {
        /// The operation: `connect`, `accept`, `receive` or `send`.
        step: &'static str,
        /// The other side's address.
        peer: net::SocketAddr,
    },
    /// The other side closed the connection, or sent another message than the handshake requires.
    #[error("{step} with {peer}: closed")]
    Closed {
        /// The operation: `connect`, `accept`, `receive` or `send`.
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
    /// See [`Error`]. The step is `connect`, or `receive` or `send` if a frame of the handshake
    /// failed.
    pub async fn connect(
        address: net::SocketAddr,
        identity: &Identity,
    ) -> Result<(Self, Peer), Error> {
        let timeout = Error::Timeout { step: "connect", peer: address };
        let handshake = connect_handshake(address, identity);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| timeout)?
    }

    /// Performs the accepting side of the handshake.
    ///
    /// # Errors
    ///
    /// See [`Error`]. The step is `accept`, or `receive` or `send` if a frame of the handshake
    /// failed.
    pub async fn accept(
        stream: tokio_net::TcpStream,
        address: net::SocketAddr,
        identity: &Identity,
    ) -> Result<(Self, Peer), Error> {
        let timeout = Error::Timeout { step: "accept", peer: address };
        let handshake = accept_handshake(stream, address, identity);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| timeout)?
    }

    /// Returns the next frame. The future is cancel-safe.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the step is `receive`.
    pub async fn receive(&mut self) -> Result<wire::Frame, Error> {
        let (step, peer) = ("receive", self.address);
        match self.framed.next().await {
            None => Err(Error::Closed { step, peer }),
            Some(frame) => frame.map_err(|source| Error::Wire { step, peer, source }),
        }
    }

    /// Sends a message. The future is not cancel-safe: if it is dropped, the channel must be too.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the step is `send`.
    pub async fn send(&mut self, body: wire::Body) -> Result<(), Error> {
        let (step, peer) = ("send", self.address);
        let sent = tokio::time::timeout(SEND_TIMEOUT, self.framed.send(body)).await;
        let sent = sent.map_err(|_| Error::Timeout { step, peer })?;
        sent.map_err(|source| Error::Wire { step, peer, source })
    }
}

fn framed(
    stream: tokio_net::TcpStream,
    identity: &Identity,
) -> (codec::Framed<tokio_net::TcpStream, wire::Codec>, Bytes) {
    // Nagle's algorithm would delay small frames.
    let _ = stream.set_nodelay(true);
    let nonce = Bytes::copy_from_slice(&rand::random::<[u8; NONCE_BYTES]>());
    let (key, sender) = (identity.key.clone(), identity.sender.clone());
    let codec = wire::Codec::new(key, sender, identity.incarnation.0, nonce.clone());
    (codec::Framed::new(stream, codec), nonce)
}

async fn connect_handshake(
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

async fn accept_handshake(
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
