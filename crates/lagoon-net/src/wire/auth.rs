//! Authentication tags of frames, and detection of replayed datagrams.

use std::collections;

use hmac::Mac;

use super::message;

/// Bytes of a frame's tag: the first half of an HMAC-SHA256, the minimum length that RFC 2104
/// recommends. Full tags would make up a fifth of the bytes of heartbeats.
pub const TAG_BYTES: usize = 16;

/// Key shared by all processes of a fleet.
#[derive(Clone)]
pub struct Key {
    mac: hmac::Hmac<sha2::Sha256>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from bytes of any length; 32 random bytes are recommended.
    ///
    /// ```
    /// use lagoon_net::wire;
    /// let key = wire::Key::new(b"secret");
    /// assert!(key.verify(b"text", &key.tag(b"text")));
    /// assert!(!key.verify(b"text", &wire::Key::new(b"other").tag(b"text")));
    /// ```
    pub fn new(bytes: &[u8]) -> Self {
        let mac = hmac::Hmac::new_from_slice(bytes);
        Key { mac: mac.expect("HMAC takes keys of any length") }
    }

    /// Returns the tag of `bytes`.
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        let whole: [u8; 32] = mac.finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is the tag of `bytes`, compared in constant time.
    pub fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        tag.len() == TAG_BYTES && mac.verify_truncated_left(tag).is_ok()
    }
}

/// Maximum difference between a datagram's wall clock and the receiver's. The heartbeats of a host
/// whose clock differs by more are rejected, so that it looks dead.
pub const CLOCK_SKEW_MS: u64 = 30_000;

/// Number of sequence numbers tracked behind the newest one of each sender.
const WINDOW_SIZE: u64 = 64;

/// Rejects replayed datagrams.
///
/// Prevents this failure: a third party records a heartbeat and sends it again later. Symptom: a
/// dead host looks live. The window tracks the sequence numbers of each sender's incarnation. A
/// receiver that has just restarted has tracked none; there the wall clock limits the age of a
/// datagram to [`CLOCK_SKEW_MS`].
///
/// ```
/// use lagoon_net::wire;
/// let mut window = wire::ReplayWindow::default();
/// let frame = wire::Frame { sender: "suva-1".into(), sequence: 3, wall_ms: 9, ..Default::default() };
/// assert!(window.admit(&frame, 10));
/// assert!(!window.admit(&frame, 10));
/// ```
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: collections::HashMap<String, Received>,
}

#[derive(Debug, Default)]
struct Received {
    incarnation: u64,
    newest: u64,
    bits: u64,
}

impl ReplayWindow {
    /// Returns whether `frame` is new at the wall-clock time `wall_ms`, and records it if so.
    pub fn admit(&mut self, frame: &message::Frame, wall_ms: u64) -> bool {
        if frame.wall_ms.abs_diff(wall_ms) > CLOCK_SKEW_MS || frame.sequence == 0 {
            return false;
        }
        let received = self.senders.entry(frame.sender.clone()).or_default();
        if frame.incarnation < received.incarnation {
            return false;
        }
        if frame.incarnation > received.incarnation {
            *received = Received { incarnation: frame.incarnation, ..Received::default() };
        }
        received.admit(frame.sequence)
    }
}

impl Received {
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.bits = if shift >= WINDOW_SIZE { 0 } else { self.bits << shift };
            self.bits |= 1;
            self.newest = sequence;
            return true;
        }
        let behind = self.newest - sequence;
        if behind >= WINDOW_SIZE || self.bits & (1 << behind) != 0 {
            return false;
        }
        self.bits |= 1 << behind;
        true
    }
}
