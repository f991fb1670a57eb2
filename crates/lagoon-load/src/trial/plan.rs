//! Calls of a run, drawn from a seed before the run. Arrivals are open-loop: they never wait for
//! responses.

use std::time;

use lagoonline::control::document;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::Settings;

/// End of the warm-up, as a fraction of the run: connections are open and engine rates learned.
const WARM_UP_END: f64 = 0.07;
/// End of the phase with short prompts alone, as a fraction of the run.
const ALONE_END: f64 = 0.25;
/// Start of the phase with faults, as a fraction of the run.
pub(crate) const FAULTS_START: f64 = 0.55;
/// Prompt lengths in tokens, and the fraction of model calls with each; 2 % are over 100,000.
const PROMPT_LENGTHS: [(u64, f64); 4] =
    [(1_000, 0.80), (10_000, 0.14), (100_000, 0.04), (1_000_000, 0.02)];
/// Bytes of prompt text per token, the default of the configuration document.
const BYTES_PER_TOKEN: usize = 4;
/// Fraction of model calls that are streamed.
const STREAMED_FRACTION: f64 = 0.7;
/// Fraction of bookings with an idempotency key.
const KEYED_FRACTION: f64 = 0.5;
/// Number of answer tokens of a model call.
const ANSWER_TOKENS: std::ops::Range<u64> = 16..64;
/// Deadline of bookings and of model calls with short prompts.
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(10);
/// Deadline of model calls with longer prompts.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(22);

/// Kind and size of a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Request {
    /// A completion.
    Model {
        /// Prompt length, in tokens.
        tokens: u64,
        /// Answer length, in tokens.
        answer: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A service call, which must not run twice.
    Booking {
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
}

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Short prompts alone, while connections are opened; excluded from times to first token.
    WarmUp,
    /// Short prompts alone, without longer ones.
    Alone,
    /// All lengths.
    Mixed,
    /// All lengths, with faults.
    Faults,
}

impl Phase {
    /// Returns whether the phase has prompts of all lengths.
    pub(crate) fn is_mixed(self) -> bool {
        match self {
            Phase::WarmUp | Phase::Alone => false,
            Phase::Mixed | Phase::Faults => true,
        }
    }

    fn at(fraction: f64) -> Phase {
        match fraction {
            fraction if fraction < WARM_UP_END => Phase::WarmUp,
            fraction if fraction < ALONE_END => Phase::Alone,
            fraction if fraction < FAULTS_START => Phase::Mixed,
            _ => Phase::Faults,
        }
    }
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    /// Number in order of time; makes the prompt, the body and the idempotency key unique.
    pub(crate) number: u64,
    /// Time of the call, from the start of the run.
    pub(crate) at: time::Duration,
    /// Kind and size of the call.
    pub(crate) request: Request,
    /// Time allowed for the call.
    pub(crate) deadline: time::Duration,
    /// Phase of the run in which it is made.
    pub(crate) phase: Phase,
    /// Selects the customer, by the remainder modulo the number of customers, and the entry host,
    /// by the quotient. Random, but computed from the arrival in runs of [`crate::http`].
    pub(crate) selector: u32,
}

impl Call {
    /// Returns the length class of a model call; `None` for a booking.
    pub(crate) fn class(&self) -> Option<document::Class> {
        match self.request {
            Request::Model { tokens, .. } => Some(document::Class::of(tokens)),
            Request::Booking { .. } => None,
        }
    }

    /// Returns the prompt in its full length; empty for a booking. It differs from all others from
    /// the first bytes on, so that no two calls share a prefix.
    pub(crate) fn prompt(&self) -> String {
        let Request::Model { tokens, .. } = self.request else { return String::new() };
        let length = usize::try_from(tokens).unwrap_or(0) * BYTES_PER_TOKEN;
        // Filler text; only its length and its number matter.
        let line = format!("{} tin label and lease filing of the season. ", self.number);
        let mut text = line.repeat(length / line.len() + 1);
        text.truncate(length);
        text
    }

    /// Returns the body of a booking.
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
    /// Distributes the calls round-robin over `threads` callers.
    pub(crate) fn split(&self, threads: usize) -> Vec<Vec<Call>> {
        let mut shares = vec![Vec::new(); threads];
        for (index, call) in self.calls.iter().enumerate() {
            shares[index % threads].push(call.clone());
        }
        shares
    }
}

/// Draws the calls of a run from the seed.
pub(crate) fn draw(settings: &Settings) -> Plan {
    let mut random = rngs::SmallRng::seed_from_u64(settings.seed);
    let phase = |at: f64| Phase::at(at / settings.seconds);
    let mut calls = Vec::new();
    for at in draw_arrivals(settings.rate, settings.seconds, &mut random) {
        let tokens = draw_length(&PROMPT_LENGTHS, &mut random);
        let is_short = document::Class::of(tokens) == document::Class::Short;
        // The first phases omit the longer calls, so that the short load is the same in all phases.
        if is_short || phase(at).is_mixed() {
            calls.push(model_call(at, phase(at), tokens, &mut random));
        }
    }
    for at in draw_arrivals(settings.bookings, settings.seconds, &mut random) {
        let request = Request::Booking { keyed: random.random_bool(KEYED_FRACTION) };
        calls.push(new_call(at, phase(at), request, SHORT_DEADLINE, random.random()));
    }
    calls.sort_by_key(|call| call.at);
    for (number, call) in (0..).zip(&mut calls) {
        call.number = number;
    }
    Plan { calls }
}

/// Draws arrival times in seconds from a Poisson process with `rate` arrivals per second.
pub(crate) fn draw_arrivals(rate: f64, seconds: f64, random: &mut rngs::SmallRng) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at = 0.0;
    while rate > 0.0 && at < seconds {
        at -= (1.0 - random.random::<f64>()).ln() / rate;
        times.push(at);
    }
    // The last time is beyond the end.
    times.pop();
    times
}

/// Draws one of `lengths`, pairs of a length in tokens and the fraction of calls with it.
pub(crate) fn draw_length(lengths: &[(u64, f64); 4], random: &mut rngs::SmallRng) -> u64 {
    let mut draw: f64 = random.random();
    for (tokens, share) in lengths {
        if draw < *share {
            return *tokens;
        }
        draw -= share;
    }
    lengths[0].0
}

fn model_call(at: f64, phase: Phase, tokens: u64, random: &mut rngs::SmallRng) -> Call {
    let answer = random.random_range(ANSWER_TOKENS);
    let request = Request::Model { tokens, answer, stream: random.random_bool(STREAMED_FRACTION) };
    let is_short = document::Class::of(tokens) == document::Class::Short;
    let deadline = if is_short { SHORT_DEADLINE } else { LONG_DEADLINE };
    new_call(at, phase, request, deadline, random.random())
}

fn new_call(
    at: f64,
    phase: Phase,
    request: Request,
    deadline: time::Duration,
    selector: u32,
) -> Call {
    let at = time::Duration::from_secs_f64(at);
    Call { number: 0, at, request, deadline, phase, selector }
}
