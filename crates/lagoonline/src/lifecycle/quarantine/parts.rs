//! Evidence against parts of prompts: crashes of upstreams, and the prompts that had just started
//! there, no two of which need be alike.

use std::cmp;
use std::collections;

use super::pattern::{Pattern, Prompt};
use super::{Settings, Suspect, Weight};
use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint::Fingerprint;

/// Number of causes at the same time up to which each is found by the least number of crashes.
const EXPECTED_CAUSES: usize = 4;

/// Points against a part for a further crash of the same request.
const REPEATED_POINTS: usize = 1;

/// A prompt that was in flight at a crash.
#[derive(Clone, Debug)]
struct Holder {
    request: Fingerprint,
    prompt: Prompt,
    weight: Weight,
}

/// A crash of an upstream.
#[derive(Clone, Debug)]
struct Crash {
    upstream: id::Upstream,
    at: clock::Moment,
    holders: Vec<Holder>,
    /// Requests at this crash that were in quarantine. If there are any, the crash is no evidence
    /// against the parts of others.
    culprits: Vec<Fingerprint>,
}

impl Crash {
    fn holders_of<'a>(&'a self, part: &'a id::Part) -> impl Iterator<Item = &'a Holder> {
        self.holders.iter().filter(|holder| holder.prompt.parts.contains(part))
    }

    fn is_explained_for(&self, part: &id::Part) -> bool {
        let is_culprit = |holder: &Holder| self.culprits.contains(&holder.request);
        !self.culprits.is_empty() && !self.holders_of(part).any(is_culprit)
    }
}

/// What crashes have in common, by the evidence so far.
#[derive(Clone, Debug)]
pub(super) struct Finding {
    pub(super) pattern: Pattern,
    pub(super) upstreams: Vec<id::Upstream>,
}

/// A part that may explain crashes.
#[derive(Debug)]
struct Candidate<'a> {
    part: &'a id::Part,
    crashes: Vec<&'a Crash>,
    /// Whether prompts with it were answered shortly before its first crash.
    was_sound: bool,
    points: usize,
    /// Number of prompts with it at its crashes.
    holders: usize,
}

/// Notes that the heaviest request of a window is counted, and returns its points.
fn count(heaviest: Option<(usize, Fingerprint)>, counted: &mut Vec<Fingerprint>) -> usize {
    let Some((points, request)) = heaviest else { return 0 };
    counted.push(request);
    points
}

/// The evidence for and against parts of prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    settings: Settings,
    crashes: collections::BTreeMap<u64, Crash>,
    next_id: u64,
    /// Ids of the crashes that prompts with each part were involved in, in order.
    crashes_by_part: collections::BTreeMap<id::Part, Vec<u64>>,
    /// When the last answer began that went on, to a prompt with each part.
    begun: collections::BTreeMap<id::Part, clock::Moment>,
    /// Number of parts of all prompts at all crashes, which bounds the memory.
    held_parts: usize,
}

impl Evidence {
    pub(super) fn new(settings: Settings) -> Evidence {
        Evidence { settings, ..Evidence::default() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes_by_part.is_empty()
    }

    /// Records that `suspects` were in flight at `upstream` when it crashed, among them the
    /// quarantined `culprits`.
    pub(super) fn add(
        &mut self,
        upstream: &id::Upstream,
        suspects: &[Suspect],
        culprits: &[Fingerprint],
        now: clock::Moment,
    ) {
        let id = self.crash_id(upstream, now);
        let Some(crash) = self.crashes.get_mut(&id) else { return };
        crash.culprits.extend_from_slice(culprits);
        for suspect in suspects.iter().filter(|suspect| !suspect.prompt.parts.is_empty()) {
            let Suspect { fingerprint, weight, prompt } = suspect.clone();
            let mut known = crash.holders.iter_mut();
            if let Some(known) = known.find(|holder| holder.request == fingerprint) {
                known.weight = known.weight.max(weight);
                continue;
            }
            for part in prompt.parts.iter() {
                let ids = self.crashes_by_part.entry(part.clone()).or_default();
                if ids.last() != Some(&id) {
                    ids.push(id);
                }
            }
            self.held_parts += prompt.parts.len();
            crash.holders.push(Holder { request: fingerprint, prompt, weight });
        }
    }

    /// Returns the id of the crash that a report about `upstream` made now belongs to.
    fn crash_id(&mut self, upstream: &id::Upstream, now: clock::Moment) -> u64 {
        let window = self.settings.dedup_window;
        let recent =
            self.crashes.iter().rev().take_while(|(_, crash)| now.since(crash.at) < window);
        let mut same = recent.filter(|(_, crash)| crash.upstream == *upstream);
        if let Some((id, _)) = same.next() {
            return *id;
        }
        let id = self.next_id;
        self.next_id += 1;
        let (holders, culprits) = (Vec::new(), Vec::new());
        let crash = Crash { upstream: upstream.clone(), at: now, holders, culprits };
        self.crashes.insert(id, crash);
        id
    }

    /// Records that an answer to a prompt with `part` began at `begun` and went on. Returns whether
    /// this clears it of a crash.
    pub(super) fn record_begun(&mut self, part: &id::Part, begun: clock::Moment) -> bool {
        let known = self.begun.get(part).copied();
        if known.is_some_and(|known| known >= begun) {
            return false;
        }
        self.begun.insert(part.clone(), begun);
        let ids = self.crashes_by_part.get(part).into_iter().flatten();
        let mut crashes = ids.filter_map(|id| self.crashes.get(id));
        crashes.any(|crash| known.is_none_or(|known| crash.at > known) && crash.at <= begun)
    }

    /// Returns when the last answer to a prompt with `part` began that went on.
    pub(super) fn begun_at(&self, part: &id::Part) -> Option<clock::Moment> {
        self.begun.get(part).copied()
    }

    /// Returns the crashes that count against `part`: those after the last answer that went on.
    fn uncleared<'a>(&'a self, part: &id::Part) -> impl Iterator<Item = (u64, &'a Crash)> {
        let begun = self.begun.get(part).copied();
        let ids = self.crashes_by_part.get(part).into_iter().flatten();
        let crashes = ids.filter_map(|id| Some((*id, self.crashes.get(id)?)));
        let part = part.clone();
        crashes.filter(move |(_, crash)| {
            begun.is_none_or(|begun| crash.at > begun) && !crash.is_explained_for(&part)
        })
    }

    /// Returns when the last crash was that prompts with `part` were involved in.
    fn last_crash_at(&self, part: &id::Part) -> Option<clock::Moment> {
        let last = self.crashes_by_part.get(part)?.last()?;
        self.crashes.get(last).map(|crash| crash.at)
    }

    /// Returns whether prompts with `part` were answered shortly before `at`.
    fn was_sound(&self, part: &id::Part, at: clock::Moment) -> bool {
        let begun = self.begun.get(part);
        begun.is_some_and(|begun| at.since(*begun) < self.settings.trust_duration)
    }

    /// Returns the weight that counts as proof, unless the part was in quarantine before.
    fn required_points(&self) -> usize {
        self.settings.required_crashes * Weight::Begun.part_points()
    }

    /// Sums the points of `crashes` against `part`. Of crashes within one correlation window only the
    /// heaviest counts. The same request again says little of its parts: it counts less, and only if
    /// it was the one that had begun.
    fn weigh<'a, Crashes>(&self, part: &id::Part, crashes: Crashes) -> usize
    where
        Crashes: Iterator<Item = &'a Crash>,
    {
        let mut counted: Vec<Fingerprint> = Vec::new();
        let mut window_start: Option<clock::Moment> = None;
        let mut heaviest = None;
        let mut sum = 0;
        for crash in crashes {
            let is_same = window_start
                .is_some_and(|start| crash.at.since(start) <= self.settings.correlation_window);
            if !is_same {
                sum += count(heaviest.take(), &mut counted);
                window_start = Some(crash.at);
            }
            let points = |holder: &Holder| match counted.contains(&holder.request) {
                true if holder.weight == Weight::Begun => REPEATED_POINTS,
                true => 0,
                false => holder.weight.part_points(),
            };
            let weighed = crash.holders_of(part).map(|holder| (points(holder), holder.request));
            heaviest = heaviest.max(weighed.max());
        }
        sum + count(heaviest, &mut counted)
    }

    /// Returns whether enough time has passed since the last crash for it to count against each part.
    pub(super) fn is_settled(&self, now: clock::Moment) -> bool {
        let last = self.crashes.last_key_value();
        last.is_none_or(|(_, crash)| now.since(crash.at) >= self.settings.sound_settle_time)
    }

    /// Returns what the crashes have in common, judged anew from all evidence: the part that explains
    /// most first, then the next one of the crashes that it does not explain.
    ///
    /// For the parts in `lapsed`, whose quarantine expired, one more crash is enough.
    pub(super) fn findings(
        &self,
        lapsed: &collections::BTreeSet<id::Part>,
        now: clock::Moment,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut explained = collections::BTreeSet::new();
        while let Some(best) = self.best(lapsed, &explained, now) {
            let pattern = self.pattern(&best);
            explained.extend(self.crashes_of(&pattern).map(|(id, _)| id));
            let upstreams = best.crashes.iter().map(|crash| crash.upstream.clone()).collect();
            findings.push(Finding { pattern, upstreams });
        }
        findings
    }

    /// Returns the crashes that prompts of `pattern` were involved in.
    fn crashes_of<'a>(&'a self, pattern: &'a Pattern) -> impl Iterator<Item = (u64, usize)> {
        let ids = pattern.parts.first().and_then(|part| self.crashes_by_part.get(part));
        let crashes = ids.into_iter().flatten().filter_map(|id| Some((*id, self.crashes.get(id)?)));
        let holders = |crash: &Crash| {
            crash.holders.iter().filter(|holder| pattern.matches(&holder.prompt)).count()
        };
        crashes.map(move |(id, crash)| (id, holders(crash))).filter(|(_, holders)| *holders > 0)
    }

    /// Returns those of `patterns` that explain no crash that the others do not explain as well. Of
    /// patterns with the same crashes, the one that most prompts match is needless.
    pub(super) fn needless(&self, patterns: &collections::BTreeSet<Pattern>) -> Vec<Pattern> {
        let crashes =
            |pattern: &Pattern| self.crashes_of(pattern).collect::<collections::BTreeMap<_, _>>();
        let mut kept: Vec<_> = patterns.iter().map(|pattern| (crashes(pattern), pattern)).collect();
        kept.retain(|(crashes, _)| !crashes.is_empty());
        let matching =
            |crashes: &collections::BTreeMap<u64, usize>| crashes.values().sum::<usize>();
        kept.sort_by_key(|(crashes, pattern)| (cmp::Reverse(matching(crashes)), *pattern));
        let mut needless = Vec::new();
        let mut index = 0;
        while index < kept.len() {
            let is_explained = |id: &u64| {
                let mut others = kept.iter().enumerate().filter(|(other, _)| *other != index);
                others.any(|(_, (crashes, _))| crashes.contains_key(id))
            };
            if kept[index].0.keys().all(is_explained) {
                needless.push(kept.remove(index).1.clone());
            } else {
                index += 1;
            }
        }
        needless
    }

    /// Returns the proven part that explains most crashes outside of `explained`. A part that was
    /// sound shortly before comes after those that were not. Of parts that explain as many, the one
    /// that fewer prompts have explains better; further ties go by name, so that hosts with the same
    /// evidence agree.
    fn best<'a>(
        &'a self,
        lapsed: &collections::BTreeSet<id::Part>,
        explained: &collections::BTreeSet<u64>,
        now: clock::Moment,
    ) -> Option<Candidate<'a>> {
        let parts = self.crashes_by_part.keys();
        let candidates = parts.filter_map(|part| self.candidate(part, explained, now));
        let proven = candidates.filter(|candidate| {
            if lapsed.contains(candidate.part) {
                return candidate.points >= Weight::Begun.part_points();
            }
            self.is_proven(candidate, explained, now)
        });
        proven.max_by_key(|candidate| {
            let Candidate { part, was_sound, points, holders, .. } = candidate;
            (!was_sound, *points, cmp::Reverse((*holders, *part)))
        })
    }

    fn candidate<'a>(
        &'a self,
        part: &'a id::Part,
        explained: &collections::BTreeSet<u64>,
        now: clock::Moment,
    ) -> Option<Candidate<'a>> {
        let mut crashes = self.uncleared(part).filter(|(id, _)| !explained.contains(id)).peekable();
        let was_sound = self.was_sound(part, crashes.peek()?.1.at);
        let Settings { settle_time, sound_settle_time, .. } = self.settings;
        let settle_time = if was_sound { sound_settle_time } else { settle_time };
        let settled = crashes.filter(|(_, crash)| now.since(crash.at) >= settle_time);
        let crashes: Vec<_> = settled.map(|(_, crash)| crash).collect();
        let points = self.weigh(part, crashes.iter().copied());
        let holders = crashes.iter().map(|crash| crash.holders_of(part).count()).sum();
        Some(Candidate { part, crashes, was_sound, points, holders })
    }

    /// Returns whether the crashes of `candidate` are proof. The smaller its share of all crashes of
    /// that time, the more of them it takes: where many upstreams crash for other reasons, any part
    /// is at some of these crashes.
    fn is_proven(
        &self,
        candidate: &Candidate<'_>,
        explained: &collections::BTreeSet<u64>,
        now: clock::Moment,
    ) -> bool {
        let required = self.required_points();
        let (Some(first), Some(last)) = (candidate.crashes.first(), candidate.crashes.last())
        else {
            return false;
        };
        let of_that_time = |(id, crash): &(&u64, &Crash)| {
            (first.at..=last.at).contains(&crash.at)
                && !explained.contains(id)
                && now.since(crash.at) >= self.settings.settle_time
        };
        let all = self.crashes.iter().filter(of_that_time).count();
        let explains = candidate.crashes.len();
        candidate.points >= required
            && candidate.points * explains * EXPECTED_CAUSES >= required * all
    }

    /// Returns what all prompts with the part of `candidate` had in common at its crashes: its
    /// customer, and the parts that no answer has cleared since. These cannot be told apart.
    fn pattern(&self, candidate: &Candidate<'_>) -> Pattern {
        let first = candidate.crashes.first().map_or(clock::Moment::START, |crash| crash.at);
        let crashes = candidate.crashes.iter();
        let prompts: Vec<_> = crashes
            .flat_map(|crash| crash.holders_of(candidate.part))
            .map(|holder| &holder.prompt)
            .collect();
        let is_cleared =
            |part: &id::Part| self.begun.get(part).is_some_and(|begun| *begun >= first);
        let is_common = |part: &&id::Part| {
            !is_cleared(part) && prompts.iter().all(|prompt| prompt.parts.contains(part))
        };
        let mut parts: Vec<_> = prompts.first().map_or_else(Vec::new, |prompt| {
            prompt.parts.iter().filter(is_common).cloned().collect()
        });
        parts.sort();
        parts.dedup();
        let customer = prompts.first().map(|prompt| prompt.customer.clone());
        let customer =
            customer.filter(|customer| prompts.iter().all(|prompt| prompt.customer == *customer));
        Pattern { customer, parts }
    }

    /// Returns how long a decision on `prompt` must wait for other hosts' reports, if the crashes so
    /// far would be sufficient proof against one of its parts.
    pub(super) fn pending_delay(&self, prompt: &Prompt, now: clock::Moment) -> Option<clock::Span> {
        let delays = prompt.parts.iter().filter_map(|part| {
            // Spares the sum for the many prompts that come long after the last crash.
            if now.since(self.last_crash_at(part)?) >= self.settings.settle_time {
                return None;
            }
            let crashes: Vec<_> = self.uncleared(part).map(|(_, crash)| crash).collect();
            let (first, last) = (crashes.first()?, crashes.last()?);
            let until = last.at + self.settings.settle_time;
            let is_near = self.weigh(part, crashes.iter().copied()) >= self.required_points();
            (is_near && until > now && !self.was_sound(part, first.at)).then(|| until.since(now))
        });
        delays.max()
    }

    /// Returns whether a part of `prompt`, of which nothing good is known, was at a crash before under
    /// another request than `request`.
    pub(super) fn is_suspected(&self, request: &Fingerprint, prompt: &Prompt) -> bool {
        prompt.parts.iter().any(|part| {
            let mut crashes = self.uncleared(part).map(|(_, crash)| crash).peekable();
            let Some(first) = crashes.peek().map(|crash| crash.at) else { return false };
            let by_other =
                |crash: &Crash| crash.holders_of(part).any(|holder| holder.request != *request);
            !self.was_sound(part, first) && crashes.any(by_other)
        })
    }

    /// Returns the parts of `pattern` that may still be lethal, if an answer has cleared one of them of
    /// all crashes; `None` if not.
    pub(super) fn narrowed(&self, pattern: &Pattern) -> Option<Vec<id::Part>> {
        let is_cleared = |part: &&id::Part| {
            self.crashes_by_part.contains_key(*part) && self.uncleared(part).next().is_none()
        };
        let (cleared, left): (Vec<_>, Vec<_>) = pattern.parts.iter().partition(is_cleared);
        (!cleared.is_empty()).then(|| left.into_iter().cloned().collect())
    }

    /// Returns the parts that were at two crashes since `since` and that no answer has cleared, those
    /// at most crashes first, at most `count`.
    pub(super) fn doubted(&self, since: clock::Moment, count: usize) -> Vec<id::Part> {
        let crashes =
            |part: &id::Part| self.uncleared(part).filter(|(_, crash)| crash.at >= since).count();
        let counted = self.crashes_by_part.keys().map(|part| (crashes(part), part));
        let mut doubted: Vec<_> = counted.filter(|(crashes, _)| *crashes >= 2).collect();
        doubted.sort_by_key(|(crashes, part)| (cmp::Reverse(*crashes), *part));
        doubted.into_iter().take(count).map(|(_, part)| part.clone()).collect()
    }

    /// Drops expired evidence, and the oldest crashes while there are too many or too many parts
    /// of prompts at them.
    pub(super) fn expire(&mut self, now: clock::Moment) {
        let Settings { evidence_retention, trust_duration, max_entries, .. } = self.settings;
        let max_crashes = self.settings.max_part_crashes;
        while let Some((id, oldest)) = self.crashes.first_key_value() {
            let is_kept = now.since(oldest.at) < evidence_retention
                && self.crashes.len() <= max_crashes
                && self.held_parts <= max_entries;
            if is_kept {
                break;
            }
            let id = *id;
            self.drop_crash(id);
        }
        if self.begun.len() > max_entries {
            self.begun.retain(|_, begun| now.since(*begun) < trust_duration);
        }
        if self.begun.len() > max_entries {
            // Their history is lost; parts at crashes keep theirs.
            let crashes_by_part = &self.crashes_by_part;
            self.begun.retain(|part, _| crashes_by_part.contains_key(part));
        }
    }

    fn drop_crash(&mut self, id: u64) {
        let Some(crash) = self.crashes.remove(&id) else { return };
        self.held_parts -=
            crash.holders.iter().map(|holder| holder.prompt.parts.len()).sum::<usize>();
        for part in crash.holders.iter().flat_map(|holder| holder.prompt.parts.iter()) {
            let Some(ids) = self.crashes_by_part.get_mut(part) else { continue };
            ids.retain(|known| *known != id);
            if ids.is_empty() {
                self.crashes_by_part.remove(part);
            }
        }
    }
}
