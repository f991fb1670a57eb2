//! Good and all events of an objective, counted from the growth of the entry hosts' counters.

use std::collections;

use lagoonline::control::document;
use lagoonline::outcome;

use crate::series;

/// Time to first token, by length class, model and zone.
pub(crate) const FIRST_TOKEN: &str = "lagoon_first_token_seconds";
/// Time between tokens, by model and zone.
const BETWEEN_TOKENS: &str = "lagoon_between_tokens_seconds";
/// Time to first token of short prompts as a multiple of that on an idle upstream.
const SHORT_SLOWDOWN: &str = "lagoon_short_slowdown_ratios";
/// Requests by outcome and reason.
const REQUESTS: &str = "lagoon_requests";
/// Requests of the customers with most of them, by outcome and reason.
const CUSTOMER_REQUESTS: &str = "lagoon_customer_requests";

/// Milliseconds of a second.
const MILLIS: f64 = 1_000.0;

/// Events of one indicator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Within the bound.
    pub good: f64,
    /// All.
    pub all: f64,
}

impl Count {
    /// Share of good events, `None` without events.
    ///
    /// ```
    /// use lagoon_burn::indicator::Count;
    /// assert_eq!(Count { good: 3.0, all: 4.0 }.share(), Some(0.75));
    /// assert_eq!(Count::default().share(), None);
    /// ```
    pub fn share(self) -> Option<f64> {
        (self.all > 0.0).then(|| self.good / self.all)
    }

    /// How many times faster than allowed the error budget is used, `None` without events.
    ///
    /// ```
    /// use lagoon_burn::indicator::Count;
    /// let burn = Count { good: 98.0, all: 100.0 }.burn(0.99).unwrap();
    /// assert!((burn - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn(self, target: f64) -> Option<f64> {
        self.share().map(|share| (1.0 - share) / (1.0 - target))
    }
}

/// Part of the traffic: all of it, or what has this value of a label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part<'a> {
    /// Everything.
    All,
    /// One model.
    Model(&'a str),
    /// One availability zone.
    Zone(&'a str),
    /// One customer; only outcomes are counted by customer.
    Customer(&'a str),
}

impl Part<'_> {
    fn holds(self, key: &series::Key) -> bool {
        match self {
            Part::All => true,
            Part::Model(name) => key.label("model") == name || key.is_of_model(name),
            Part::Zone(name) => key.label("zone") == name,
            Part::Customer(name) => key.label("customer") == name,
        }
    }
}

/// Counts the events of `objective` in `part` of what `growth` holds.
pub fn count(
    objective: &document::Objective,
    growth: &collections::BTreeMap<series::Key, f64>,
    part: Part<'_>,
) -> Count {
    let seconds = objective.bound / MILLIS;
    match objective.indicator {
        document::Indicator::FirstToken(class) => {
            let of_class = |key: &series::Key| key.label("class") == class.as_str();
            within(growth, FIRST_TOKEN, seconds, |key| part.holds(key) && of_class(key))
        }
        document::Indicator::BetweenTokens => {
            within(growth, BETWEEN_TOKENS, seconds, |key| part.holds(key))
        }
        document::Indicator::ShortSlowdown => {
            within(growth, SHORT_SLOWDOWN, objective.bound, |key| part.holds(key))
        }
        document::Indicator::WithinDeadline => outcomes(growth, part, is_answered),
        document::Indicator::KnownOutcome => outcomes(growth, part, is_known),
    }
}

fn is_answered(outcome: &str) -> bool {
    outcome == outcome::Outcome::Done.as_str()
}

fn is_known(outcome: &str) -> bool {
    outcome != outcome::Outcome::Unknown.as_str()
}

/// Requests that failed by their caller's own doing say nothing of the service.
fn is_callers_doing(reason: &str) -> bool {
    let reasons = outcome::Reason::ALL.into_iter();
    reasons.filter(|reason| reason.is_caller_fault()).any(|known| known.as_str() == reason)
}

fn outcomes<Good>(
    growth: &collections::BTreeMap<series::Key, f64>,
    part: Part<'_>,
    good: Good,
) -> Count
where
    Good: Fn(&str) -> bool,
{
    let metric = match part {
        Part::Customer(_) => CUSTOMER_REQUESTS,
        Part::All | Part::Model(_) | Part::Zone(_) => REQUESTS,
    };
    let mut count = Count::default();
    for (key, &grown) in growth {
        if key.metric != metric || !part.holds(key) || is_callers_doing(key.label("reason")) {
            continue;
        }
        count.all += grown;
        if good(key.label("outcome")) {
            count.good += grown;
        }
    }
    count
}

/// Events of a histogram at or below `bound`, taken as spread evenly within a bucket.
fn within<Holds>(
    growth: &collections::BTreeMap<series::Key, f64>,
    metric: &str,
    bound: f64,
    holds: Holds,
) -> Count
where
    Holds: Fn(&series::Key) -> bool,
{
    let buckets = buckets(growth, metric, holds);
    let all = buckets.last().map_or(0.0, |&(_, events)| events);
    let (mut below, mut events_below) = (0.0, 0.0);
    for &(upper, events) in &buckets {
        if upper >= bound {
            let share = if upper.is_finite() { (bound - below) / (upper - below) } else { 0.0 };
            let good = events_below + (events - events_below) * share;
            return Count { good, all };
        }
        (below, events_below) = (upper, events);
    }
    Count { good: all, all }
}

/// Cumulative buckets of a histogram: upper bound and events, summed over the keys that `holds`.
pub fn buckets<Holds>(
    growth: &collections::BTreeMap<series::Key, f64>,
    metric: &str,
    holds: Holds,
) -> Vec<(f64, f64)>
where
    Holds: Fn(&series::Key) -> bool,
{
    let mut sums: Vec<(f64, f64)> = Vec::new();
    for (key, &grown) in growth {
        if key.metric != metric || !holds(key) {
            continue;
        }
        let Ok(upper) = key.label("le").parse::<f64>() else { continue };
        match sums.iter_mut().find(|(bound, _)| *bound == upper) {
            Some((_, events)) => *events += grown,
            None => sums.push((upper, grown)),
        }
    }
    sums.sort_by(|a, b| a.0.total_cmp(&b.0));
    sums
}

/// Value below which `share` of a histogram's events lie, `None` without events; the highest
/// finite bound where the share lies beyond it.
///
/// ```
/// use lagoon_burn::indicator;
/// let buckets = [(1.0, 50.0), (2.0, 100.0), (f64::INFINITY, 100.0)];
/// assert_eq!(indicator::quantile(&buckets, 0.75), Some(1.5));
/// ```
pub fn quantile(buckets: &[(f64, f64)], share: f64) -> Option<f64> {
    let all = buckets.last().map(|&(_, events)| events).filter(|&events| events > 0.0)?;
    let wanted = all * share;
    let (mut below, mut events_below) = (0.0, 0.0);
    for &(upper, events) in buckets {
        if events >= wanted && upper.is_finite() {
            let within = (wanted - events_below) / (events - events_below).max(f64::MIN_POSITIVE);
            return Some(below + (upper - below) * within);
        }
        if upper.is_finite() {
            (below, events_below) = (upper, events);
        }
    }
    Some(below)
}
