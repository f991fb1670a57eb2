//! Arrivals of a scenario, drawn from the seed before the run.

use lagoonline::clock;
use lagoonline::control::document;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::scenario;

/// Customers, of which the first may be heavy.
pub const CUSTOMERS: u32 = 10;
/// Tokens of a shared prefix.
const PREFIX: u64 = 1_536;
/// Prefixes that are shared.
const PREFIXES: u64 = 8;

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: clock::Moment,
    /// At which entry host.
    pub host: usize,
    /// Whose.
    pub customer: u32,
    /// Prompt tokens.
    pub tokens: u64,
    /// Answer tokens that will come.
    pub answer: u64,
    /// Time to answer it in.
    pub deadline: clock::Span,
    /// Its cacheable prefix.
    pub prefixes: Vec<(u64, u64)>,
}

/// A kind of prompt: bounds of its length, the answer's length and its deadline.
struct Kind {
    tokens: (f64, f64),
    answer: (u64, u64),
    deadline: clock::Span,
}

const SHORT: Kind =
    Kind { tokens: (200.0, 4_000.0), answer: (8, 96), deadline: clock::Span::from_secs(10) };
const MEDIUM: Kind =
    Kind { tokens: (8_000.0, 32_000.0), answer: (32, 256), deadline: clock::Span::from_secs(60) };
const LONG: Kind = Kind {
    tokens: (100_000.0, 1_000_000.0),
    answer: (64, 512),
    deadline: clock::Span::from_secs(600),
};

impl Kind {
    /// Mean of the lengths, which are uniform in their logarithm.
    fn mean(&self) -> f64 {
        let (low, high) = self.tokens;
        (high - low) / (high / low).ln()
    }
}

/// Tokens a second that one customer's even share of the short prompts comes to.
pub fn share(scenario: &scenario::Scenario) -> f64 {
    let capacity = f64::from(scenario.zones * scenario.engines) * scenario::RATE;
    let answer = (SHORT.answer.0 + SHORT.answer.1) as f64 / 2.0;
    let tokens = scenario.short * capacity * (1.0 + answer / SHORT.mean());
    tokens / f64::from(CUSTOMERS)
}

/// All arrivals of `seconds`, in order. Each kind has a random stream of its own, so that the same
/// short prompts come whatever comes beside them.
pub fn draw(scenario: &scenario::Scenario, seed: u64, seconds: f64) -> Vec<Arrival> {
    let engines = f64::from(scenario.zones * scenario.engines);
    let capacity = engines * scenario::RATE;
    let long = Kind { tokens: (LONG.tokens.0, scenario.longest), ..LONG };
    let loads = [(SHORT, scenario.short), (MEDIUM, scenario.medium), (long, scenario.long)];
    let mut arrivals = Vec::new();
    for (stream, (kind, load)) in (0..).zip(loads) {
        let mut random = rngs::SmallRng::seed_from_u64(seed * 16 + stream);
        let rate = load * capacity / kind.mean();
        let burst = if stream == 0 { scenario.burst } else { 1.0 };
        one_kind(scenario, &kind, (rate, burst), seconds, &mut random, &mut arrivals);
    }
    if scenario.heavy > 1.0 {
        let mut random = rngs::SmallRng::seed_from_u64(seed * 16 + 8);
        let share = scenario.short * capacity / SHORT.mean() / f64::from(CUSTOMERS);
        let extra = share * (scenario.heavy - 1.0);
        let start = arrivals.len();
        one_kind(scenario, &SHORT, (extra, 1.0), seconds, &mut random, &mut arrivals);
        arrivals[start..].iter_mut().for_each(|arrival| arrival.customer = 0);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn one_kind(
    scenario: &scenario::Scenario,
    kind: &Kind,
    (rate, burst): (f64, f64),
    seconds: f64,
    random: &mut rngs::SmallRng,
    arrivals: &mut Vec<Arrival>,
) {
    let hosts = (scenario.zones * scenario.hosts) as usize;
    if rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        let factor = if at % 30.0 >= 27.0 { burst } else { 1.0 };
        at -= (1.0 - random.random::<f64>()).ln() / (rate * factor);
        if at >= seconds {
            return;
        }
        let (low, high) = kind.tokens;
        let tokens = (low * (high / low).powf(random.random::<f64>())) as u64;
        let shares = random.random::<f64>() < scenario.shared;
        let prefix = random.random_range(0..PREFIXES);
        let is_short = document::Class::of(tokens) == document::Class::Short;
        let prefixed = shares && is_short && tokens > PREFIX;
        arrivals.push(Arrival {
            at: clock::Moment::from_micros((at * 1e6) as u64),
            host: random.random_range(0..hosts),
            customer: random.random_range(0..CUSTOMERS),
            tokens,
            answer: random.random_range(kind.answer.0..kind.answer.1),
            deadline: kind.deadline,
            prefixes: if prefixed { vec![(prefix, PREFIX)] } else { Vec::new() },
        });
    }
}
