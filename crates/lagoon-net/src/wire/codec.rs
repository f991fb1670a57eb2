//! Framing on a byte stream: length, tag, message. Length and tag are checked before decoding.

use prost::Message;
use prost::bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec;

use super::auth;
use super::message;

/// Maximum frame size in bytes. The largest messages contain the text of a section.
pub const FRAME_LIMIT: usize = 8 << 20;

/// Maximum datagram size in bytes, below the usual MTU of 1,500.
pub const DATAGRAM_LIMIT: usize = 1_400;

/// Size of the length prefix of a frame. The length covers the tag and the message.
const LENGTH_BYTES: usize = 4;

/// Why a frame was rejected. The connection that it arrived on is closed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Longer than [`FRAME_LIMIT`].
    #[error("a frame of {0} bytes is over the limit")]
    TooLong(usize),
    /// Too short to hold its tag.
    #[error("a frame of {0} bytes is too short")]
    TooShort(usize),
    /// The tag does not match the fleet's key.
    #[error("a frame's tag is wrong")]
    BadTag,
    /// Cannot be decoded.
    #[error("a frame is no message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The message version is not supported by this build.
    #[error("a frame's version {0} is not spoken here")]
    Version(u32),
    /// Not the next frame of its connection, or from another connection.
    #[error("a frame came again or out of order")]
    Replayed,
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns the label value used in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Error::TooLong(_) => "too_long",
            Error::TooShort(_) => "too_short",
            Error::BadTag => "bad_tag",
            Error::Malformed(_) => "malformed",
            Error::Version(_) => "version",
            Error::Replayed => "replayed",
            Error::Io(_) => "io",
        }
    }
}

/// Encodes and decodes the frames of one connection.
///
/// Prevents this failure: a recorded frame is sent again, on this connection or another. Symptom:
/// an old mark or call takes effect twice. Every frame carries the nonce that the receiving side
/// chose for this connection and a sequence number one higher than the last. The tag covers both,
/// so that a recorded frame is valid in no other position.
#[derive(Debug)]
pub struct Codec {
    key: auth::Key,
    sender: String,
    incarnation: u64,
    sent: u64,
    received: u64,
    /// Nonce that frames of the peer must carry.
    own_nonce: Bytes,
    /// Nonce that the peer chose, which own frames carry.
    peer_nonce: Bytes,
}

impl Codec {
    /// Creates the codec of one side of a new connection; `own_nonce` must be random and unused.
    pub fn new(key: auth::Key, sender: String, incarnation: u64, own_nonce: Bytes) -> Self {
        let (sent, received) = (0, 0);
        let peer_nonce = Bytes::new();
        Codec { key, sender, incarnation, sent, received, own_nonce, peer_nonce }
    }

    /// Returns this side's nonce, to be sent in its [`message::Challenge`] or [`message::Hello`].
    pub fn own_nonce(&self) -> Bytes {
        self.own_nonce.clone()
    }

    /// Stores the peer's nonce when the frame is part of the handshake.
    fn learn_nonce(&mut self, frame: &message::Frame) {
        match &frame.body {
            Some(message::Body::Challenge(challenge)) => {
                self.peer_nonce = challenge.nonce.clone();
            }
            Some(message::Body::Hello(hello)) => self.peer_nonce = hello.nonce.clone(),
            _ => {}
        }
    }

    /// Rejects a frame that is not the next of this connection. The challenge comes first, when the
    /// peer does not know the nonce yet.
    fn check_order(&mut self, frame: &message::Frame) -> Result<(), Error> {
        let first = matches!(frame.body, Some(message::Body::Challenge(_)));
        let fits = if first { self.received == 0 } else { frame.nonce == self.own_nonce };
        if !fits || frame.sequence != self.received + 1 {
            return Err(Error::Replayed);
        }
        self.received += 1;
        Ok(())
    }
}

impl codec::Encoder<message::Body> for Codec {
    type Error = Error;

    fn encode(&mut self, body: message::Body, out: &mut BytesMut) -> Result<(), Error> {
        self.sent += 1;
        let frame = message::Frame {
            version: message::VERSION,
            sender: self.sender.clone(),
            incarnation: self.incarnation,
            sequence: self.sent,
            wall_ms: 0,
            nonce: self.peer_nonce.clone(),
            body: Some(body),
        };
        let sealed = seal(&self.key, &frame);
        if sealed.len() > FRAME_LIMIT {
            return Err(Error::TooLong(sealed.len()));
        }
        out.reserve(LENGTH_BYTES + sealed.len());
        out.put_u32(u32::try_from(sealed.len()).unwrap_or(u32::MAX));
        out.put_slice(&sealed);
        Ok(())
    }
}

impl codec::Decoder for Codec {
    type Error = Error;
    type Item = message::Frame;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<message::Frame>, Error> {
        if source.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = source.as_ref().get_u32() as usize;
        if length > FRAME_LIMIT {
            return Err(Error::TooLong(length));
        }
        if source.len() < LENGTH_BYTES + length {
            source.reserve(LENGTH_BYTES + length - source.len());
            return Ok(None);
        }
        source.advance(LENGTH_BYTES);
        let sealed = source.split_to(length).freeze();
        let frame = open(&self.key, &sealed)?;
        self.check_order(&frame)?;
        self.learn_nonce(&frame);
        Ok(Some(frame))
    }
}

/// Encodes a frame and prepends its tag.
///
/// ```
/// use lagoon_net::wire;
/// let key = wire::Key::new(b"secret");
/// let frame = wire::Frame { version: wire::VERSION, sequence: 1, ..Default::default() };
/// let sealed = wire::seal(&key, &frame);
/// assert_eq!(wire::open(&key, &sealed).unwrap(), frame);
/// assert!(wire::open(&wire::Key::new(b"other"), &sealed).is_err());
/// ```
pub fn seal(key: &auth::Key, frame: &message::Frame) -> Bytes {
    let text = frame.encode_to_vec();
    let mut sealed = BytesMut::with_capacity(auth::TAG_BYTES + text.len());
    sealed.put_slice(&key.tag(&text));
    sealed.put_slice(&text);
    sealed.freeze()
}

/// Verifies the tag of a frame made by [`seal`], decodes it and checks its version.
///
/// # Errors
///
/// The frame is too short, its tag does not match, it cannot be decoded, or its version is not
/// supported.
pub fn open(key: &auth::Key, sealed: &[u8]) -> Result<message::Frame, Error> {
    let Some((tag, text)) = sealed.split_at_checked(auth::TAG_BYTES) else {
        return Err(Error::TooShort(sealed.len()));
    };
    if !key.verify(text, tag) {
        return Err(Error::BadTag);
    }
    let frame = message::Frame::decode(text)?;
    // Newer senders are accepted, because fields are only ever added. Versions below the oldest
    // supported one are rejected; the documentation for operators says to upgrade in steps.
    if frame.version < message::OLDEST_VERSION {
        return Err(Error::Version(frame.version));
    }
    Ok(frame)
}
