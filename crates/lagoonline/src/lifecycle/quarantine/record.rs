//! Quarantine records, as shared between hosts and stored at the platform.

use std::collections;

use super::pattern::{Pattern, Prompt};
use crate::clock;
use crate::lifecycle::fingerprint::Fingerprint;

/// Multiplier that spreads the version over all bits of the checksum.
const VERSION_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The quarantine state of a request, or of a pattern of prompts. Of two records of the same request the one with the higher
/// version is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The identity of the request, or of the pattern.
    pub fingerprint: Fingerprint,
    /// What the refused requests have in common; `None` if a single request is refused.
    pub pattern: Option<Pattern>,
    /// Increases with each change to the request's quarantine.
    pub version: u32,
    /// Number of times the request was quarantined since its last release.
    pub occurrences: u32,
    /// Number of crashes counted as evidence when it was quarantined.
    pub crashes: u32,
    /// When the quarantine expires.
    pub expires_at: clock::Moment,
    /// Whether it was ended early, by an operator or by a complete answer.
    pub released: bool,
}

impl Record {
    /// Returns whether the request is in quarantine at `now`.
    pub fn is_active(&self, now: clock::Moment) -> bool {
        !self.released && self.expires_at > now
    }

    /// Returns whether the quarantine has expired, so that other hosts need not know of it.
    fn has_expired(&self, now: clock::Moment) -> bool {
        self.expires_at <= now
    }

    fn checksum(&self) -> u64 {
        let digest = self.fingerprint.digest();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        u64::from_le_bytes(first) ^ u64::from(self.version).wrapping_mul(VERSION_MULTIPLIER)
    }
}

/// All known quarantine records, by request.
#[derive(Clone, Debug, Default)]
pub(super) struct Records(collections::BTreeMap<Fingerprint, Record>);

impl Records {
    pub(super) fn get(&self, request: &Fingerprint) -> Option<&Record> {
        self.0.get(request)
    }

    /// Returns the record of a pattern that refuses `prompt`.
    pub(super) fn refusing(&self, prompt: &Prompt, now: clock::Moment) -> Option<&Record> {
        let patterns = self.0.range(Fingerprint::of_length(u64::MAX)).map(|(_, record)| record);
        let mut refusing = patterns.filter(|record| {
            let is_match = |pattern: &Pattern| pattern.matches(prompt);
            record.is_active(now) && record.pattern.as_ref().is_some_and(is_match)
        });
        refusing.next()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Record> {
        self.0.values()
    }

    pub(super) fn has_length(&self, length: u64) -> bool {
        self.0.range(Fingerprint::of_length(length)).next().is_some()
    }

    /// Merges a record; returns whether it is newer than the known one.
    pub(super) fn merge(&mut self, record: Record) -> bool {
        let known = self.0.get(&record.fingerprint);
        let is_newer = known.is_none_or(|known| record.version > known.version);
        if is_newer {
            self.0.insert(record.fingerprint, record);
        }
        is_newer
    }

    /// Returns the records that have not expired.
    pub(super) fn unexpired(&self, now: clock::Moment) -> impl Iterator<Item = &Record> {
        self.0.values().filter(move |record| !record.has_expired(now))
    }

    /// Returns a checksum that differs between hosts with different records; 0 if there are none.
    pub(super) fn checksum(&self, now: clock::Moment) -> u64 {
        self.unexpired(now).fold(0, |sum, record| sum ^ record.checksum())
    }

    /// Drops records `keep_for` after they expire, and the earliest to expire while there are more
    /// than `max_entries`.
    pub(super) fn expire(&mut self, keep_for: clock::Span, max_entries: usize, now: clock::Moment) {
        self.0.retain(|_, record| record.expires_at + keep_for > now);
        while self.0.len() > max_entries {
            let first = self.0.values().min_by_key(|record| record.expires_at);
            let Some(first) = first.map(|record| record.fingerprint) else { return };
            self.0.remove(&first);
        }
    }
}
