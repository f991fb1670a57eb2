//! What callers ask and when, drawn from a seed before the run: arrivals never wait for answers.

use std::time;

use lagoonline::control::document;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::Settings;

/// Part of the run at whose end connections are open and rates learned.
const WARM: f64 = 0.07;
/// Part of the run at whose end short requests are no longer alone.
const ALONE: f64 = 0.25;
/// Part of the run at whose end faults begin.
pub(crate) const CALM: f64 = 0.55;
/// Prompt tokens, and the share of calls that have them: one in fifty is over 100,000.
const LENGTHS: [(u64, f64); 4] =
    [(1_000, 0.80), (10_000, 0.14), (100_000, 0.04), (1_000_000, 0.02)];
/// Bytes of prompt text for each token, as in the document.
const BYTES_PER_TOKEN: usize = 4;
/// Share of model calls that are streamed.
const STREAMED: f64 = 0.7;
/// Share of bookings with an idempotency key.
const KEYED: f64 = 0.5;
/// Answer tokens.
const ANSWER: std::ops::Range<u64> = 16..64;
/// Deadlines of short and of other calls.
const DEADLINE_SHORT: time::Duration = time::Duration::from_secs(10);
const DEADLINE_LONG: time::Duration = time::Duration::from_secs(22);

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ask {
    /// A completion.
    Model {
        /// Prompt tokens.
        tokens: u64,
        /// Answer tokens.
        answer: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service that may not run twice.
    Booking {
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
}

/// Part of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Short prompts alone, on connections just opened.
    WarmUp,
    /// Short prompts alone.
    Alone,
    /// All lengths.
    Mixed,
    /// All lengths, with faults.
    Faults,
}

impl Phase {
    /// Whether prompts of all lengths come.
    pub(crate) fn is_mixed(self) -> bool {
        match self {
            Phase::WarmUp | Phase::Alone => false,
            Phase::Mixed | Phase::Faults => true,
        }
    }

    fn at(part: f64) -> Phase {
        match part {
            part if part < WARM => Phase::WarmUp,
            part if part < ALONE => Phase::Alone,
            part if part < CALM => Phase::Mixed,
            _ => Phase::Faults,
        }
    }
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    /// Its number: makes its text and its key unlike any other's.
    pub(crate) number: u64,
    /// When it is made, from the start.
    pub(crate) at: time::Duration,
    /// What it asks.
    pub(crate) ask: Ask,
    /// Time it has.
    pub(crate) deadline: time::Duration,
    /// Part of the run in which it is made.
    pub(crate) phase: Phase,
    /// Number that picks its customer and entry host.
    pub(crate) draw: u32,
}

impl Call {
    /// Its length class, for model calls.
    pub(crate) fn class(&self) -> Option<document::Class> {
        match self.ask {
            Ask::Model { tokens, .. } => Some(document::Class::of(tokens)),
            Ask::Booking { .. } => None,
        }
    }

    /// Its prompt: of its full length, and unlike any other from the first bytes on.
    pub(crate) fn prompt(&self) -> String {
        let Ask::Model { tokens, .. } = self.ask else { return String::new() };
        let length = usize::try_from(tokens).unwrap_or(0) * BYTES_PER_TOKEN;
        let line = format!("{} tin label and lease filing of the season. ", self.number);
        let mut text = line.repeat(length / line.len() + 1);
        text.truncate(length);
        text
    }

    /// Body of a booking.
    pub(crate) fn booking(&self) -> String {
        format!("{{\"booking\":{}}}", self.number)
    }
}

/// All calls of a run, in order of time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    calls: Vec<Call>,
}

impl Plan {
    /// Deals the calls out to `threads` callers.
    pub(crate) fn split(&self, threads: usize) -> Vec<Vec<Call>> {
        let mut shares = vec![Vec::new(); threads];
        for (index, call) in self.calls.iter().enumerate() {
            shares[index % threads].push(call.clone());
        }
        shares
    }
}

/// Draws the calls of a run.
pub(crate) fn new(settings: &Settings) -> Plan {
    let mut random = rngs::SmallRng::seed_from_u64(settings.seed);
    let phase = |at: f64| Phase::at(at / settings.seconds);
    let mut calls = Vec::new();
    for at in arrivals(settings.rate, settings.seconds, &mut random) {
        let drawn = length(&LENGTHS, &mut random);
        let is_short = document::Class::of(drawn) == document::Class::Short;
        // The same short load alone: the longer calls of the first part are left out.
        if is_short || phase(at).is_mixed() {
            calls.push(model(at, phase(at), drawn, &mut random));
        }
    }
    for at in arrivals(settings.bookings, settings.seconds, &mut random) {
        let ask = Ask::Booking { keyed: random.random_bool(KEYED) };
        calls.push(call(at, phase(at), ask, DEADLINE_SHORT, random.random()));
    }
    calls.sort_by_key(|call| call.at);
    for (number, call) in (0..).zip(&mut calls) {
        call.number = number;
    }
    Plan { calls }
}

/// Times of arrivals at `rate` a second, in seconds: a Poisson process.
pub(crate) fn arrivals(rate: f64, seconds: f64, random: &mut rngs::SmallRng) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at = 0.0;
    while rate > 0.0 && at < seconds {
        at -= (1.0 - random.random::<f64>()).ln() / rate;
        times.push(at);
    }
    times.pop();
    times
}

/// Draws one of `lengths`, in tokens, by the share of calls that each has.
pub(crate) fn length(lengths: &[(u64, f64); 4], random: &mut rngs::SmallRng) -> u64 {
    let mut draw: f64 = random.random();
    for (tokens, share) in lengths {
        if draw < *share {
            return *tokens;
        }
        draw -= share;
    }
    lengths[0].0
}

fn model(at: f64, phase: Phase, tokens: u64, random: &mut rngs::SmallRng) -> Call {
    let answer = random.random_range(ANSWER);
    let ask = Ask::Model { tokens, answer, stream: random.random_bool(STREAMED) };
    let is_short = document::Class::of(tokens) == document::Class::Short;
    let deadline = if is_short { DEADLINE_SHORT } else { DEADLINE_LONG };
    call(at, phase, ask, deadline, random.random())
}

fn call(at: f64, phase: Phase, ask: Ask, deadline: time::Duration, draw: u32) -> Call {
    let at = time::Duration::from_secs_f64(at);
    Call { number: 0, at, ask, deadline, phase, draw }
}
