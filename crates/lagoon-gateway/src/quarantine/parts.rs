//! Parts of prompts that crash upstreams: what this host knows of answers that began and went on, and
//! what other hosts ask about.
//!
//! A part that is at several crashes may only be popular. Answers that begin after a crash clear it.
//! Each host notes when the last one with each part began, and says so at once if it clears a crash
//! that the host knows of. In a large zone most hosts hear of no crashes of others: those that do name
//! the parts that they doubt with every batch, and hosts that are named one tell what they know.

use std::collections;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::quarantine;

use super::message;
use crate::event;
use crate::forward;
use crate::message as datagram;
use crate::state;

/// Maximum number of parts that a batch asks about.
const MAX_DOUBTED: usize = 8;
/// Age of the crashes for which a host asks.
const DOUBT_AGE: clock::Span = clock::Span::from_secs(10);
/// Time for which a question of another host is remembered.
const QUESTION_VALIDITY: clock::Span = clock::Span::from_secs(2);
/// Maximum number of parts that are remembered as asked about.
const MAX_ASKED: usize = 256;

/// Questions of this host and of others.
#[derive(Debug, Default)]
pub(super) struct Doubts {
    /// Parts that this host asks about.
    own: Vec<String>,
    /// Parts that others ask about.
    asked: collections::BTreeMap<id::Part, Asked>,
}

/// A part that another host asks about.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: clock::Moment,
    /// When the answer began that was told last.
    told: Option<clock::Moment>,
}

impl forward::Admitted {
    /// Returns whose the prompt is, and the parts that other prompts may have as well.
    pub(crate) fn prompt(&self) -> quarantine::Prompt {
        quarantine::Prompt {
            customer: self.customer.clone().unwrap_or_default(),
            parts: sync::Arc::from(self.request.head.shared_parts.as_slice()),
        }
    }

    /// Records that an answer to the prompt began at `begun` and went on, which clears its parts of
    /// earlier crashes.
    pub(crate) fn record_begun(&self, begun: clock::Moment) {
        let parts = &self.request.head.shared_parts;
        let now = self.state.clock.now();
        let mut quarantine = state::lock(&self.state.quarantine.inner);
        let news: Vec<_> =
            parts.iter().filter(|part| quarantine.record_begun(part, begun)).cloned().collect();
        drop(quarantine);
        let mut doubts = state::lock(&self.state.quarantine.doubts);
        let is_asked = |part: &&id::Part| {
            let asked = doubts.asked.get(*part);
            !news.contains(part)
                && asked.is_some_and(|asked| now.since(asked.at) < QUESTION_VALIDITY)
        };
        let asked: Vec<_> = parts.iter().filter(is_asked).cloned().collect();
        for part in &asked {
            if let Some(asked) = doubts.asked.get_mut(part) {
                asked.told = Some(begun);
            }
        }
        drop(doubts);
        if !news.is_empty() {
            let listed: Vec<_> = news.iter().map(id::Part::as_str).collect();
            event::Line::new("parts_cleared")
                .text("request", &self.request.head.request_id)
                .text("parts", listed.join(" "))
                .info();
        }
        let told = news.into_iter().chain(asked).map(|part| (part, begun)).collect();
        self.state.publish_begun(told);
    }
}

impl state::State {
    /// Returns the parts that this host asks others about.
    pub(crate) fn doubted_parts(&self) -> Vec<String> {
        state::lock(&self.quarantine.doubts).own.clone()
    }

    /// Updates which parts this host asks about; only one that hears of all crashes does.
    pub(super) fn update_doubts(&self, hears_crashes: bool) {
        let since = self.clock.now().saturating_sub(DOUBT_AGE);
        let doubted = if hears_crashes {
            state::lock(&self.quarantine.inner).doubted_parts(since, MAX_DOUBTED)
        } else {
            Vec::new()
        };
        state::lock(&self.quarantine.doubts).own =
            doubted.iter().map(ToString::to_string).collect();
    }

    /// Tells when the last answers began to prompts with the parts that another host asks about.
    pub(crate) fn answer_doubts(&self, doubted: &[String]) {
        if doubted.is_empty() {
            return;
        }
        let now = self.clock.now();
        let begun = {
            let quarantine = state::lock(&self.quarantine.inner);
            let parts = doubted.iter().take(MAX_DOUBTED).map(|part| id::Part::from(part.as_str()));
            parts.map(|part| (quarantine.begun_at(&part), part)).collect::<Vec<_>>()
        };
        let mut doubts = state::lock(&self.quarantine.doubts);
        doubts.asked.retain(|_, asked| now.since(asked.at) < QUESTION_VALIDITY);
        let mut told = Vec::new();
        for (begun, part) in begun {
            if doubts.asked.len() >= MAX_ASKED && !doubts.asked.contains_key(&part) {
                continue;
            }
            let asked = doubts.asked.entry(part.clone()).or_insert(Asked { at: now, told: None });
            asked.at = now;
            if let Some(begun) = begun.filter(|begun| asked.told.is_none_or(|told| told < *begun)) {
                asked.told = Some(begun);
                told.push((part, begun));
            }
        }
        drop(doubts);
        self.publish_begun(told);
    }

    /// Tells other hosts when answers to prompts with these parts began that went on.
    fn publish_begun(&self, told: Vec<(id::Part, clock::Moment)>) {
        if told.is_empty() {
            return;
        }
        let now = self.clock.now();
        let ages_ms =
            told.iter().map(|(_, begun)| datagram::to_millis(now.since(*begun))).collect();
        let parts = told.into_iter().map(|(part, _)| part.to_string()).collect();
        let what = datagram::Kind::Begun(message::Begun { parts, ages_ms });
        self.publish(datagram::Update::new(0, &id::Service::default(), what));
    }

    /// Applies another host's word of answers that began and went on.
    pub(crate) fn apply_begun(&self, begun: &message::Begun) {
        let now = self.clock.now();
        let mut quarantine = state::lock(&self.quarantine.inner);
        for (part, age_ms) in begun.parts.iter().zip(&begun.ages_ms) {
            let at = now.saturating_sub(datagram::from_millis(*age_ms));
            quarantine.record_begun(&id::Part::from(part.as_str()), at);
        }
    }
}
