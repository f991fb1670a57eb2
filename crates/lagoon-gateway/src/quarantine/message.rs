//! Messages between hosts about requests that crash upstreams.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::lifecycle::quarantine;

/// The fingerprint of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Identity {
    /// Length of the body in bytes.
    #[prost(uint64, tag = "1")]
    length: u64,
    /// Digest of customer, target and body.
    #[prost(bytes = "vec", tag = "2")]
    digest: Vec<u8>,
}

impl Identity {
    pub(crate) fn new(fingerprint: &fingerprint::Fingerprint) -> Identity {
        Identity { length: fingerprint.length(), digest: fingerprint.digest().to_vec() }
    }

    /// Decodes the fingerprint.
    ///
    /// # Errors
    ///
    /// The digest has a length that this build does not know.
    pub(crate) fn fingerprint(&self) -> Result<fingerprint::Fingerprint, fingerprint::Malformed> {
        fingerprint::Fingerprint::from_parts(self.length, &self.digest)
    }
}

/// An upstream crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Crashed {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// Requests of the reporting host that had just begun to run there.
    #[prost(message, repeated, tag = "2")]
    begun: Vec<Identity>,
    /// Requests of the reporting host that may still have been queued there.
    #[prost(message, repeated, tag = "3")]
    waiting: Vec<Identity>,
}

impl Crashed {
    pub(crate) fn new(upstream: &id::Upstream, suspects: &[quarantine::Suspect]) -> Crashed {
        let with_weight = |weight| {
            let suspects = suspects.iter().filter(move |suspect| suspect.weight == weight);
            suspects.map(|suspect| Identity::new(&suspect.fingerprint)).collect()
        };
        Crashed {
            upstream: upstream.to_string(),
            begun: with_weight(quarantine::Weight::Started),
            waiting: with_weight(quarantine::Weight::MaybeQueued),
        }
    }

    /// Decodes the requests, with the weight of the evidence against each.
    ///
    /// # Errors
    ///
    /// A digest has a length that this build does not know.
    pub(crate) fn suspects(&self) -> Result<Vec<quarantine::Suspect>, fingerprint::Malformed> {
        let begun = self.begun.iter().map(|request| (request, quarantine::Weight::Started));
        let waiting = self.waiting.iter().map(|request| (request, quarantine::Weight::MaybeQueued));
        let suspect = |(request, weight): (&Identity, _)| {
            Ok(quarantine::Suspect { fingerprint: request.fingerprint()?, weight })
        };
        begun.chain(waiting).map(suspect).collect()
    }
}

/// A suspect was answered completely.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Cleared {
    /// The request.
    #[prost(message, optional, tag = "1")]
    pub(crate) request: Option<Identity>,
}

/// A verdict on a request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Verdict {
    /// The request.
    #[prost(message, optional, tag = "1")]
    request: Option<Identity>,
    /// Version of the verdict; grows with each verdict on the same request.
    #[prost(uint32, tag = "2")]
    version: u32,
    /// How often the request has been in quarantine.
    #[prost(uint32, tag = "3")]
    times: u32,
    /// Number of crashes on which the verdict is based.
    #[prost(uint32, tag = "4")]
    crashes: u32,
    /// Milliseconds until the verdict expires.
    #[prost(uint64, tag = "5")]
    left_ms: u64,
    /// Whether the quarantine was ended early.
    #[prost(bool, tag = "6")]
    released: bool,
}

impl Verdict {
    pub(crate) fn new(record: &quarantine::Record, now: clock::Moment) -> Verdict {
        let left = record.expires_at.since(now).as_millis();
        Verdict {
            request: Some(Identity::new(&record.fingerprint)),
            version: record.version,
            times: record.occurrences,
            crashes: record.crashes,
            left_ms: u64::try_from(left).unwrap_or(u64::MAX),
            released: record.released,
        }
    }

    /// Decodes the verdict, received at `now`.
    ///
    /// # Errors
    ///
    /// The request is missing, or its digest has a length that this build does not know.
    pub(crate) fn record(
        &self,
        now: clock::Moment,
    ) -> Result<quarantine::Record, fingerprint::Malformed> {
        let request = self.request.as_ref().ok_or(fingerprint::Malformed)?;
        Ok(quarantine::Record {
            fingerprint: request.fingerprint()?,
            version: self.version,
            occurrences: self.times,
            crashes: self.crashes,
            expires_at: now + clock::Span::from_millis(self.left_ms),
            released: self.released,
        })
    }
}
