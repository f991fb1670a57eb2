//! Open-loop request arrivals of a scenario, drawn from the seed before the run.

use lagoonline::clock;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::scenario;

/// Number of customers; the first one sends more in scenarios with a `heavy_factor`.
pub const CUSTOMERS: u32 = 10;

/// One request of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: clock::Moment,
    /// Index of the entry host that receives it.
    pub host: usize,
    /// Index of the customer that sends it.
    pub customer: u32,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Number of answer tokens that the engine generates.
    pub answer_tokens: u64,
    /// Time from arrival within which it must be answered.
    pub deadline: clock::Span,
    /// Hash and length in tokens of each cacheable prefix; empty without a shared prefix.
    pub prefixes: Vec<(u64, u64)>,
}

/// A kind of prompt: bounds of the prompt and answer lengths in tokens, and the deadline. Short and
/// medium prompts are of the length class of the same name, long ones of the classes long and huge.
struct Kind {
    tokens: (f64, f64),
    answer: (u64, u64),
    deadline: clock::Span,
    /// Whether its prompts may start with a shared prefix.
    shares_prefixes: bool,
}

const SHORT: Kind = Kind {
    tokens: (200.0, 4_000.0),
    answer: (8, 96),
    deadline: clock::Span::from_secs(10),
    shares_prefixes: true,
};
const MEDIUM: Kind = Kind {
    tokens: (8_000.0, 32_000.0),
    answer: (32, 256),
    deadline: clock::Span::from_secs(60),
    shares_prefixes: true,
};
const LONG: Kind = Kind {
    tokens: (100_000.0, 1_000_000.0),
    answer: (64, 512),
    deadline: clock::Span::from_secs(600),
    shares_prefixes: false,
};

impl Kind {
    /// Returns the mean prompt length; lengths are log-uniform between the bounds.
    fn mean_tokens(&self) -> f64 {
        let (low, high) = self.tokens;
        (high - low) / (high / low).ln()
    }
}

/// Returns the token rate per second, prompts and answers, of one customer's equal share of the
/// short load.
pub fn customer_token_rate(scenario: &scenario::Scenario) -> f64 {
    let capacity = f64::from(scenario.zones * scenario.engines) * scenario::PREFILL_RATE;
    let answer = (SHORT.answer.0 + SHORT.answer.1) as f64 / 2.0;
    let tokens = scenario.short * capacity * (1.0 + answer / SHORT.mean_tokens());
    tokens / f64::from(CUSTOMERS)
}

/// Draws all arrivals within `seconds`, in order of time. Each kind of prompt has its own random
/// stream, so that the short prompts are the same whatever the load of the other kinds.
pub fn draw(scenario: &scenario::Scenario, seed: u64, seconds: f64) -> Vec<Arrival> {
    let engines = f64::from(scenario.zones * scenario.engines);
    let capacity = engines * scenario::PREFILL_RATE;
    let long = Kind { tokens: (LONG.tokens.0, scenario.longest_prompt), ..LONG };
    let loads = [(SHORT, scenario.short), (MEDIUM, scenario.medium), (long, scenario.long)];
    let mut arrivals = Vec::new();
    // Each seed has 16 random streams: one for each kind of prompt, and stream 8 for the additional
    // load of the first customer.
    for (random_stream, (kind, load)) in (0..).zip(loads) {
        let mut random = rngs::SmallRng::seed_from_u64(seed * 16 + random_stream);
        let rate = load * capacity / kind.mean_tokens();
        let burst = if random_stream == 0 { scenario.burst_factor } else { 1.0 };
        draw_kind(scenario, &kind, (rate, burst), seconds, &mut random, &mut arrivals);
    }
    if scenario.heavy_factor > 1.0 {
        let mut random = rngs::SmallRng::seed_from_u64(seed * 16 + 8);
        let share = scenario.short * capacity / SHORT.mean_tokens() / f64::from(CUSTOMERS);
        let extra = share * (scenario.heavy_factor - 1.0);
        let start = arrivals.len();
        draw_kind(scenario, &SHORT, (extra, 1.0), seconds, &mut random, &mut arrivals);
        arrivals[start..].iter_mut().for_each(|arrival| arrival.customer = 0);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_kind(
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
        // The last 3 s of every 30 s are a burst.
        let factor = if at % 30.0 >= 27.0 { burst } else { 1.0 };
        at -= (1.0 - random.random::<f64>()).ln() / (rate * factor);
        if at >= seconds {
            return;
        }
        let (low, high) = kind.tokens;
        let tokens = (low * (high / low).powf(random.random::<f64>())) as u64;
        let draws_prefix = random.random::<f64>() < scenario.shared_prefixes;
        let prefix = random.random_range(0..scenario.prefix_count);
        let has_prefix = draws_prefix && kind.shares_prefixes && tokens > scenario.prefix_tokens;
        arrivals.push(Arrival {
            at: clock::Moment::from_micros((at * 1e6) as u64),
            host: random.random_range(0..hosts),
            customer: random.random_range(0..CUSTOMERS),
            prompt_tokens: tokens,
            answer_tokens: random.random_range(kind.answer.0..kind.answer.1),
            deadline: kind.deadline,
            prefixes: has_prefix.then_some((prefix, scenario.prefix_tokens)).into_iter().collect(),
        });
    }
}
