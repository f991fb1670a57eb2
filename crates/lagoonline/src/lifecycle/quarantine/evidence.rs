//! Upstream crashes, and the requests that were in flight on the upstreams that crashed.

use std::collections;

use super::{Settings, Suspect, Weight};
use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint::Fingerprint;

/// A crash of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: id::Upstream,
    at: clock::Moment,
    suspects: collections::BTreeMap<Fingerprint, Weight>,
    /// A quarantined request was in flight there, so the crash is no evidence against the others.
    explained: bool,
}

/// The evidence for and against requests that are not in quarantine.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    settings: Settings,
    crashes: collections::BTreeMap<u64, Crash>,
    next_id: u64,
    /// Ids of the crashes that each suspect was involved in, in order.
    crashes_by_suspect: collections::BTreeMap<Fingerprint, Vec<u64>>,
    /// When each request was last answered completely.
    answered: collections::BTreeMap<Fingerprint, clock::Moment>,
}

impl Evidence {
    pub(super) fn new(settings: Settings) -> Evidence {
        Evidence { settings, ..Evidence::default() }
    }

    /// Returns whether a suspected or recently answered request has a body of this length.
    pub(super) fn has_length(&self, length: u64) -> bool {
        let range = Fingerprint::of_length(length);
        self.crashes_by_suspect.range(range.clone()).next().is_some()
            || self.answered.range(range).next().is_some()
    }

    pub(super) fn suspect_count(&self) -> usize {
        self.crashes_by_suspect.len()
    }

    /// Records that `suspects` were in flight at `upstream` when it crashed.
    pub(super) fn add(
        &mut self,
        upstream: &id::Upstream,
        suspects: &[Suspect],
        explained: bool,
        now: clock::Moment,
    ) {
        let id = self.crash_id(upstream, now);
        let Some(crash) = self.crashes.get_mut(&id) else { return };
        crash.explained |= explained;
        for Suspect { fingerprint, weight, .. } in suspects {
            let answered = self.answered.get(fingerprint);
            if answered.is_some_and(|at| now.since(*at) < self.settings.trust_duration) {
                continue;
            }
            let known = crash.suspects.get(fingerprint).copied();
            crash.suspects.insert(*fingerprint, known.map_or(*weight, |known| known.max(*weight)));
            if known.is_none() {
                self.crashes_by_suspect.entry(*fingerprint).or_default().push(id);
            }
        }
    }

    /// Returns the id of the crash that a report about `upstream` made now belongs to; reports
    /// within the dedup window share one id.
    fn crash_id(&mut self, upstream: &id::Upstream, now: clock::Moment) -> u64 {
        let window = self.settings.dedup_window;
        let recent =
            self.crashes.iter().rev().take_while(|(_, crash)| now.since(crash.at) < window);
        let mut recent = recent.filter(|(_, crash)| crash.upstream == *upstream);
        if let Some((id, _)) = recent.next() {
            return *id;
        }
        let id = self.next_id;
        self.next_id += 1;
        let suspects = collections::BTreeMap::new();
        let crash = Crash { upstream: upstream.clone(), at: now, suspects, explained: false };
        self.crashes.insert(id, crash);
        id
    }

    /// Records that the request was answered completely; returns whether other hosts should be
    /// told. That is the case if it was a suspect, or if half of the trust duration has passed
    /// since it was recorded.
    pub(super) fn record_answer(&mut self, request: &Fingerprint, now: clock::Moment) -> bool {
        let was_suspect = self.drop_suspect(request);
        let previous = self.answered.get(request).copied();
        if !was_suspect && previous.is_none() {
            return false;
        }
        let is_stale = previous.is_none_or(|at| now.since(at) * 2 > self.settings.trust_duration);
        if was_suspect || is_stale {
            self.answered.insert(*request, now);
        }
        was_suspect || is_stale
    }

    fn drop_suspect(&mut self, request: &Fingerprint) -> bool {
        let Some(ids) = self.crashes_by_suspect.remove(request) else { return false };
        for id in ids {
            if let Some(crash) = self.crashes.get_mut(&id) {
                crash.suspects.remove(request);
            }
        }
        true
    }

    /// Marks the crashes that the now quarantined request was involved in as explained by it.
    pub(super) fn explain(&mut self, request: &Fingerprint) {
        for id in self.crashes_by_suspect.remove(request).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&id) {
                crash.explained = true;
                crash.suspects.remove(request);
            }
        }
    }

    /// Returns the unexplained crashes that `request` was involved in.
    fn unexplained<'a>(
        &'a self,
        request: &Fingerprint,
    ) -> impl Iterator<Item = &'a Crash> + use<'a> {
        let ids = self.crashes_by_suspect.get(request).into_iter().flatten();
        let crashes = ids.filter_map(|id| self.crashes.get(id));
        crashes.filter(|crash| !crash.explained)
    }

    /// Sums the weight of `crashes` against `request`; of crashes within one correlation window
    /// only the heaviest counts.
    fn weigh<'a, Crashes>(&self, request: &Fingerprint, crashes: Crashes) -> usize
    where
        Crashes: Iterator<Item = &'a Crash>,
    {
        let mut sum = 0;
        let mut heaviest = 0;
        let mut window_start: Option<clock::Moment> = None;
        for crash in crashes {
            if window_start
                .is_none_or(|start| crash.at.since(start) > self.settings.correlation_window)
            {
                sum += std::mem::take(&mut heaviest);
                window_start = Some(crash.at);
            }
            heaviest =
                heaviest.max(crash.suspects.get(request).map_or(0, |weight| weight.points()));
        }
        sum + heaviest
    }

    /// Returns the weight that counts as proof.
    fn required_weight(&self) -> usize {
        self.settings.required_crashes * Weight::Started.points()
    }

    /// Returns whether enough time has passed since the last crash for all hosts to have reported
    /// on it.
    pub(super) fn is_settled(&self, now: clock::Moment) -> bool {
        let last = self.crashes.last_key_value();
        last.is_none_or(|(_, crash)| now.since(crash.at) >= self.settings.settle_time)
    }

    /// Returns how long a decision on `request` must wait for other hosts' reports, if the crashes
    /// so far would be sufficient proof; `None` if they are not, or if no wait is needed.
    pub(super) fn pending_delay(
        &self,
        request: &Fingerprint,
        now: clock::Moment,
    ) -> Option<clock::Span> {
        if self.weigh(request, self.unexplained(request)) < self.required_weight() {
            return None;
        }
        let last = self.unexplained(request).last()?;
        let until = last.at + self.settings.settle_time;
        (until > now).then(|| until.since(now))
    }

    /// Returns the request with the most evidence against it, if that is sufficient proof.
    ///
    /// `was_quarantined` tells whether a request has had a quarantine that expired: one more crash
    /// is enough for it. For other requests crashes prove nothing while another suspect was
    /// involved in all of them: either may be the cause, and a later crash tells them apart.
    pub(super) fn proven<WasQuarantined>(
        &self,
        was_quarantined: WasQuarantined,
        now: clock::Moment,
    ) -> Option<Fingerprint>
    where
        WasQuarantined: Fn(&Fingerprint) -> bool,
    {
        let is_settled = |crash: &&Crash| now.since(crash.at) >= self.settings.settle_time;
        let weigh = |request: &Fingerprint| {
            self.weigh(request, self.unexplained(request).filter(is_settled))
        };
        let proves = |request: &Fingerprint, weight: usize| {
            if was_quarantined(request) {
                return weight >= Weight::Started.points();
            }
            weight >= self.required_weight() && !self.has_rival(request, now)
        };
        let weighed = self.crashes_by_suspect.keys().map(|request| (*request, weigh(request)));
        let proven = weighed.filter(|(request, weight)| proves(request, *weight));
        proven.max_by_key(|(_, weight)| *weight).map(|(request, _)| request)
    }

    /// Returns whether another suspect was involved in all settled crashes of `request`.
    fn has_rival(&self, request: &Fingerprint, now: clock::Moment) -> bool {
        let mut crashes = self
            .unexplained(request)
            .filter(|crash| now.since(crash.at) >= self.settings.settle_time);
        let Some(first) = crashes.next() else { return false };
        let rivals = first.suspects.keys().filter(|rival| *rival != request);
        let mut rivals: Vec<_> = rivals.collect();
        for crash in crashes {
            rivals.retain(|rival| crash.suspects.contains_key(rival));
        }
        !rivals.is_empty()
    }

    /// Returns the upstreams whose unexplained crashes involved `request`.
    pub(super) fn upstreams(&self, request: &Fingerprint) -> Vec<id::Upstream> {
        self.unexplained(request).map(|crash| crash.upstream.clone()).collect()
    }

    /// Drops expired evidence. If there are too many suspects, those with the fewest crashes are
    /// dropped first, and among these the oldest.
    pub(super) fn expire(&mut self, now: clock::Moment) {
        let Settings { evidence_retention, trust_duration, max_entries, max_crashes, .. } =
            self.settings;
        // Limits memory when many suspects are answered: only answers within the more recent half
        // of the trust duration are kept.
        let trust_duration =
            if self.answered.len() > max_entries { trust_duration / 2 } else { trust_duration };
        self.answered.retain(|_, at| now.since(*at) < trust_duration);
        let before = self.crashes.len();
        while let Some((id, oldest)) = self.crashes.first_key_value() {
            if now.since(oldest.at) < evidence_retention && self.crashes.len() <= max_crashes {
                break;
            }
            let id = *id;
            self.crashes.remove(&id);
        }
        if self.crashes.len() < before {
            let first = self.crashes.first_key_value().map_or(self.next_id, |(id, _)| *id);
            self.crashes_by_suspect.retain(|_, ids| {
                ids.retain(|id| *id >= first);
                !ids.is_empty()
            });
        }
        if self.crashes_by_suspect.len() > max_entries {
            self.drop_weakest(self.crashes_by_suspect.len() - max_entries);
        }
    }

    fn drop_weakest(&mut self, count: usize) {
        let weighed = self.crashes_by_suspect.iter();
        let mut weakest: Vec<_> =
            weighed.map(|(request, ids)| (ids.len(), ids.last().copied(), *request)).collect();
        weakest.sort_unstable();
        for (_, _, request) in weakest.into_iter().take(count) {
            self.drop_suspect(&request);
        }
    }
}
