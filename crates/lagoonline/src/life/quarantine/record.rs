//! Verdicts, as hosts tell each other and keep them at the platform.

use std::collections;

use crate::clock;
use crate::life::fingerprint::Fingerprint;

/// Multiplier that spreads versions over all bits of a checksum.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// A verdict on a request. Of two on the same request the one with the higher version holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Grows with each verdict on it.
    pub version: u32,
    /// How often it was in quarantine.
    pub times: u32,
    /// Crashes that were its doing, as far as they proved it.
    pub crashes: u32,
    /// When it lapses.
    pub until: clock::Moment,
    /// An operator, or an answer, ended it early.
    pub released: bool,
}

impl Record {
    /// Whether the request is in quarantine at `now`.
    pub fn holds(&self, now: clock::Moment) -> bool {
        !self.released && self.until > now
    }

    /// Whether it has lapsed: other hosts need not know of it.
    fn is_past(&self, now: clock::Moment) -> bool {
        self.until <= now
    }

    fn checksum(&self) -> u64 {
        let digest = self.fingerprint.digest();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        u64::from_le_bytes(first) ^ u64::from(self.version).wrapping_mul(SPREAD)
    }
}

/// The verdicts that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Records(collections::BTreeMap<Fingerprint, Record>);

impl Records {
    pub(super) fn get(&self, request: &Fingerprint) -> Option<&Record> {
        self.0.get(request)
    }

    pub(super) fn knows_length(&self, length: u64) -> bool {
        self.0.range(Fingerprint::of_length(length)).next().is_some()
    }

    /// Takes in a verdict; whether it is newer than what was known.
    pub(super) fn merge(&mut self, record: Record) -> bool {
        let known = self.0.get(&record.fingerprint);
        let is_news = known.is_none_or(|known| record.version > known.version);
        if is_news {
            self.0.insert(record.fingerprint, record);
        }
        is_news
    }

    /// Those that have not lapsed.
    pub(super) fn current(&self, now: clock::Moment) -> impl Iterator<Item = &Record> {
        self.0.values().filter(move |record| !record.is_past(now))
    }

    /// Differs between hosts that know different verdicts; 0 where there are none.
    pub(super) fn checksum(&self, now: clock::Moment) -> u64 {
        self.current(now).fold(0, |sum, record| sum ^ record.checksum())
    }

    /// Forgets verdicts `span` after they lapsed, and those that lapse first where there are more
    /// than `most`.
    pub(super) fn expire(&mut self, span: clock::Span, most: usize, now: clock::Moment) {
        self.0.retain(|_, record| record.until + span > now);
        while self.0.len() > most {
            let first = self.0.values().min_by_key(|record| record.until);
            let Some(first) = first.map(|record| record.fingerprint) else { return };
            self.0.remove(&first);
        }
    }
}
