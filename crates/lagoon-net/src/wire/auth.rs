//! Tags of frames, and what tells a new frame from one played again.

use std::collections;

use hmac::Mac;

use super::message;

/// Bytes of a frame's tag: the first half of an HMAC-SHA256, which RFC 2104 holds to be enough.
/// Whole tags would be a fifth of what heartbeats cost.
pub const TAG_BYTES: usize = 16;

/// Key that a fleet's processes share.
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
    /// A key from its bytes, of any length; 32 random bytes are best.
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

    /// The tag of `bytes`.
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

/// How far a datagram's wall clock may be from the receiver's.
pub const CLOCK_SKEW_MS: u64 = 30_000;

/// Datagrams remembered behind the newest of each sender.
const WINDOW: u64 = 64;

/// Refuses datagrams that came before.
///
/// Failure answered: a heartbeat recorded by a third party is sent again later. Symptom: a dead
/// host looks alive. Each sender's life has a window over its sequence numbers; a receiver that
/// restarted has no window yet, and there the wall clock bounds the age to [`CLOCK_SKEW_MS`].
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
    senders: collections::HashMap<String, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    incarnation: u64,
    newest: u64,
    bits: u64,
}

impl ReplayWindow {
    /// Whether `frame` is new at `wall_ms`; remembers it if so.
    pub fn admit(&mut self, frame: &message::Frame, wall_ms: u64) -> bool {
        if frame.wall_ms.abs_diff(wall_ms) > CLOCK_SKEW_MS || frame.sequence == 0 {
            return false;
        }
        let seen = self.senders.entry(frame.sender.clone()).or_default();
        if frame.incarnation < seen.incarnation {
            return false;
        }
        if frame.incarnation > seen.incarnation {
            *seen = Seen { incarnation: frame.incarnation, ..Seen::default() };
        }
        seen.admit(frame.sequence)
    }
}

impl Seen {
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.bits = if shift >= WINDOW { 0 } else { self.bits << shift };
            self.bits |= 1;
            self.newest = sequence;
            return true;
        }
        let behind = self.newest - sequence;
        if behind >= WINDOW || self.bits & (1 << behind) != 0 {
            return false;
        }
        self.bits |= 1 << behind;
        true
    }
}
