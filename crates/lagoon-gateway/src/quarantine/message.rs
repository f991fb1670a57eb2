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

/// A request that was in flight at a crash.
#[derive(Clone, PartialEq, prost::Message)]
struct Suspect {
    /// Length of the body in bytes.
    #[prost(uint64, tag = "1")]
    length: u64,
    /// Digest of customer, target and body.
    #[prost(bytes = "vec", tag = "2")]
    digest: Vec<u8>,
    /// The customer; empty if there is none.
    #[prost(string, tag = "3")]
    customer: String,
    /// Parts of the prompt that other prompts may have as well.
    #[prost(string, repeated, tag = "4")]
    parts: Vec<String>,
    /// Whether the answer had begun and had no event yet.
    #[prost(bool, tag = "5")]
    no_event: bool,
}

impl Suspect {
    fn new(suspect: &quarantine::Suspect) -> Suspect {
        let quarantine::Suspect { fingerprint, weight, prompt } = suspect;
        Suspect {
            length: fingerprint.length(),
            digest: fingerprint.digest().to_vec(),
            customer: prompt.customer.to_string(),
            parts: prompt.parts.iter().map(ToString::to_string).collect(),
            no_event: *weight == quarantine::Weight::Begun,
        }
    }

    fn decode(
        &self,
        weight: quarantine::Weight,
    ) -> Result<quarantine::Suspect, fingerprint::Malformed> {
        let weight = if self.no_event { quarantine::Weight::Begun } else { weight };
        let fingerprint = fingerprint::Fingerprint::from_parts(self.length, &self.digest)?;
        let parts = self.parts.iter().map(|part| id::Part::from(part.as_str())).collect();
        let prompt =
            quarantine::Prompt { customer: id::Customer::from(self.customer.as_str()), parts };
        Ok(quarantine::Suspect { fingerprint, weight, prompt })
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
    begun: Vec<Suspect>,
    /// Requests of the reporting host that may still have been queued there.
    #[prost(message, repeated, tag = "3")]
    waiting: Vec<Suspect>,
}

/// Number of suspects in one report; a crash with more takes several, which stay small enough for a
/// datagram with prompts of usual parts.
const MAX_SUSPECTS: usize = 8;

impl Crashed {
    /// Returns the reports of one crash, at least one.
    pub(crate) fn reports(
        upstream: &id::Upstream,
        suspects: &[quarantine::Suspect],
    ) -> Vec<Crashed> {
        if suspects.is_empty() {
            return vec![Crashed::new(upstream, suspects)];
        }
        suspects.chunks(MAX_SUSPECTS).map(|suspects| Crashed::new(upstream, suspects)).collect()
    }

    fn new(upstream: &id::Upstream, suspects: &[quarantine::Suspect]) -> Crashed {
        let (waiting, begun): (Vec<_>, Vec<_>) =
            suspects.iter().partition(|suspect| suspect.weight == quarantine::Weight::MaybeQueued);
        let encode =
            |suspects: Vec<&quarantine::Suspect>| suspects.into_iter().map(Suspect::new).collect();
        Crashed { upstream: upstream.to_string(), begun: encode(begun), waiting: encode(waiting) }
    }

    /// Decodes the requests, with the weight of the evidence against each.
    ///
    /// # Errors
    ///
    /// A digest has a length that this build does not know.
    pub(crate) fn suspects(&self) -> Result<Vec<quarantine::Suspect>, fingerprint::Malformed> {
        let begun = self.begun.iter().map(|suspect| (suspect, quarantine::Weight::Started));
        let waiting = self.waiting.iter().map(|suspect| (suspect, quarantine::Weight::MaybeQueued));
        begun.chain(waiting).map(|(suspect, weight)| suspect.decode(weight)).collect()
    }
}

/// Answers to prompts began and went on.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Begun {
    /// Parts of the prompts.
    #[prost(string, repeated, tag = "1")]
    pub(crate) parts: Vec<String>,
    /// Milliseconds since the last such answer with each part began.
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) ages_ms: Vec<u32>,
}

/// A suspect was answered completely.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Cleared {
    /// The request.
    #[prost(message, optional, tag = "1")]
    pub(crate) request: Option<Identity>,
}

/// A verdict on a request, or on what prompts have in common.
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
    /// Parts that the refused prompts have in common; none if a single request is refused.
    #[prost(string, repeated, tag = "7")]
    parts: Vec<String>,
    /// The only customer whose prompts are refused.
    #[prost(string, optional, tag = "8")]
    customer: Option<String>,
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
            parts: listed_parts(record.pattern.as_ref()),
            customer: only_customer(record.pattern.as_ref()),
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
            pattern: pattern(&self.parts, self.customer.as_deref()),
        })
    }
}

/// Returns the parts of `pattern`, none if there is no pattern.
pub(super) fn listed_parts(pattern: Option<&quarantine::Pattern>) -> Vec<String> {
    let parts = pattern.iter().flat_map(|pattern| pattern.parts.iter());
    parts.map(ToString::to_string).collect()
}

/// Returns the only customer whose prompts `pattern` refuses.
pub(super) fn only_customer(pattern: Option<&quarantine::Pattern>) -> Option<String> {
    pattern.and_then(|pattern| pattern.customer.as_ref()).map(ToString::to_string)
}

/// Returns the pattern of `parts`; `None` if there are none.
pub(super) fn pattern(parts: &[String], customer: Option<&str>) -> Option<quarantine::Pattern> {
    let parts: Vec<_> = parts.iter().map(|part| id::Part::from(part.as_str())).collect();
    let customer = customer.map(id::Customer::from);
    (!parts.is_empty()).then_some(quarantine::Pattern { customer, parts })
}
