//! Identity of a request's content, independent of its request id.

use std::fmt;
use std::ops;
use std::str;

use sha2::Digest as _;

/// Digest length in bytes. It is enough to rule out chance collisions, and to keep callers from
/// constructing a body that has the fingerprint of another request.
const DIGEST_BYTES: usize = 16;

/// The identity of a request: its customer, path and query, and body, but not its method. The text
/// form is `LENGTH-DIGEST` with the body length and the digest in hexadecimal.
///
/// The body length is the most significant part of the order, so a lookup by length tells without
/// hashing that a set holds no fingerprint of that length.
///
/// ```
/// use lagoonline::lifecycle::fingerprint::Fingerprint;
/// let first = Fingerprint::new("acme", "/talk/a", b"hello");
/// assert_eq!(first, Fingerprint::new("acme", "/talk/a", b"hello"));
/// assert_ne!(first, Fingerprint::new("acme", "/talk/", b"ahello"));
/// assert_eq!(first.to_string().parse(), Ok(first));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint {
    length: u64,
    digest: [u8; DIGEST_BYTES],
}

/// Text or bytes that do not form a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a fingerprint")]
pub struct Malformed;

impl Fingerprint {
    /// Computes the fingerprint of a request by `customer` (empty if there is none) to `target`,
    /// its path and query, with `body`. Takes time proportional to the body length.
    pub fn new(customer: &str, target: &str, body: &[u8]) -> Fingerprint {
        Fingerprint::of_segments(customer, target, [body])
    }

    /// As [`Fingerprint::new`], of a body in segments.
    ///
    /// ```
    /// use lagoonline::lifecycle::fingerprint::Fingerprint;
    /// let whole = Fingerprint::new("acme", "/talk/a", b"hello");
    /// let segments = [&b"hel"[..], &b"lo"[..]];
    /// assert_eq!(Fingerprint::of_segments("acme", "/talk/a", segments), whole);
    /// ```
    pub fn of_segments<'a, Segments>(
        customer: &str,
        target: &str,
        segments: Segments,
    ) -> Fingerprint
    where
        Segments: Clone + IntoIterator<Item = &'a [u8]>,
    {
        let length = segments.clone().into_iter().map(length).sum();
        let mut digest = Digest::default();
        digest.add(customer.as_bytes());
        digest.add(target.as_bytes());
        digest.add_segments(length, segments);
        Fingerprint { length, digest: digest.finish() }
    }

    /// Computes the fingerprint of what requests have in common. No request has a body of its length.
    pub(super) fn of_pattern(customer: &str, scope: &str, parts: &str) -> Fingerprint {
        let mut digest = Digest::default();
        digest.add(customer.as_bytes());
        digest.add(scope.as_bytes());
        digest.add(parts.as_bytes());
        Fingerprint { length: u64::MAX, digest: digest.finish() }
    }

    /// Returns the range of all fingerprints of requests whose body has `length` bytes.
    ///
    /// ```
    /// use lagoonline::lifecycle::fingerprint::Fingerprint;
    /// let of_five = Fingerprint::of_length(5);
    /// assert!(of_five.contains(&Fingerprint::new("acme", "/talk/a", b"hello")));
    /// ```
    pub const fn of_length(length: u64) -> ops::RangeInclusive<Fingerprint> {
        let first = Fingerprint { length, digest: [0; DIGEST_BYTES] };
        first..=Fingerprint { length, digest: [u8::MAX; DIGEST_BYTES] }
    }

    /// Returns the length of the body in bytes.
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of customer, target and body.
    pub const fn digest(&self) -> &[u8] {
        &self.digest
    }

    /// Builds a fingerprint from its parts, as received from another host.
    ///
    /// # Errors
    ///
    /// Fails if the digest does not have the right length.
    ///
    /// ```
    /// use lagoonline::lifecycle::fingerprint::Fingerprint;
    /// let first = Fingerprint::new("acme", "/talk/a", b"hello");
    /// assert_eq!(Fingerprint::from_parts(5, first.digest()), Ok(first));
    /// assert!(Fingerprint::from_parts(5, b"short").is_err());
    /// ```
    pub fn from_parts(length: u64, digest: &[u8]) -> Result<Fingerprint, Malformed> {
        let digest = digest.try_into().map_err(|_| Malformed)?;
        Ok(Fingerprint { length, digest })
    }
}

/// Digest of fields, each with its length before it.
#[derive(Clone, Debug, Default)]
struct Digest(sha2::Sha256);

impl Digest {
    fn add(&mut self, field: &[u8]) {
        self.add_segments(length(field), [field]);
    }

    fn add_segments<'a, Segments>(&mut self, length: u64, segments: Segments)
    where
        Segments: IntoIterator<Item = &'a [u8]>,
    {
        self.0.update(length.to_le_bytes());
        for segment in segments {
            self.0.update(segment);
        }
    }

    fn finish(self) -> [u8; DIGEST_BYTES] {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&self.0.finalize()[..DIGEST_BYTES]);
        digest
    }
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-", self.length)?;
        self.digest.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl str::FromStr for Fingerprint {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Fingerprint, Malformed> {
        let (length, digits) = text.split_once('-').ok_or(Malformed)?;
        let length = u64::from_str_radix(length, 16).map_err(|_| Malformed)?;
        if digits.len() != 2 * DIGEST_BYTES || !digits.is_ascii() {
            return Err(Malformed);
        }
        let digest = u128::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        Ok(Fingerprint { length, digest: digest.to_be_bytes() })
    }
}
