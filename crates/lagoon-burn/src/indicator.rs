//! Counts the good and total events of an objective from the growth of the entry hosts' counters.

use std::collections;

use lagoonline::control::document;
use lagoonline::outcome;

use crate::series;

/// Time to first token, by length class, model and zone.
pub(crate) const FIRST_TOKEN: &str = "lagoon_first_token_seconds";
/// Time between tokens, by model and zone.
const BETWEEN_TOKENS: &str = "lagoon_between_tokens_seconds";
/// Time to first token of short prompts, as a multiple of that on an idle upstream.
const SHORT_SLOWDOWN: &str = "lagoon_short_slowdown_ratios";
/// Requests by outcome and reason.
const REQUESTS: &str = "lagoon_requests";
/// Requests by customer, outcome and reason. Entry hosts give only a fixed number of customers a
/// label value of their own and count the others as `other`.
const CUSTOMER_REQUESTS: &str = "lagoon_customer_requests";

/// Bounds of latency objectives are in milliseconds, histograms in seconds.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Number of events of one indicator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Good events: within the bound of the objective, or with the required outcome.
    pub good: f64,
    /// All events.
    pub total: f64,
}

impl Count {
    /// Returns the share of good events, or `None` without events.
    ///
    /// ```
    /// use lagoon_burn::indicator::Count;
    /// assert_eq!(Count { good: 3.0, total: 4.0 }.share(), Some(0.75));
    /// assert_eq!(Count::default().share(), None);
    /// ```
    pub fn share(self) -> Option<f64> {
        (self.total > 0.0).then(|| self.good / self.total)
    }

    /// Returns the burn rate: how many times faster than allowed the error budget of `target` (a
    /// share of good events) is used up. `None` without events.
    ///
    /// ```
    /// use lagoon_burn::indicator::Count;
    /// let burn = Count { good: 98.0, total: 100.0 }.burn(0.99).unwrap();
    /// assert!((burn - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn(self, target: f64) -> Option<f64> {
        self.share().map(|share| (1.0 - share) / (1.0 - target))
    }
}

/// Selects the traffic to count: all of it, or the counters with one value of a label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Filter<'a> {
    /// All traffic.
    All,
    /// Traffic of one model.
    Model(&'a str),
    /// Traffic of one availability zone.
    Zone(&'a str),
    /// Traffic of one customer. Only outcomes are counted by customer, so latency objectives have
    /// no events with this filter.
    Customer(&'a str),
}

impl Filter<'_> {
    fn matches(self, key: &series::Key) -> bool {
        match self {
            Filter::All => true,
            Filter::Model(name) => key.label("model") == name || key.names_model(name),
            Filter::Zone(name) => key.label("zone") == name,
            Filter::Customer(name) => key.label("customer") == name,
        }
    }
}

/// Counts the events of the objective `definition` in the counters of `growth` that `filter`
/// selects.
pub fn count(
    definition: &document::Objective,
    growth: &collections::BTreeMap<series::Key, f64>,
    filter: Filter<'_>,
) -> Count {
    let bound_seconds = definition.bound / MILLIS_PER_SECOND;
    match definition.indicator {
        document::Indicator::FirstToken(class) => {
            let of_class = |key: &series::Key| key.label("class") == class.as_str();
            count_within(growth, FIRST_TOKEN, bound_seconds, |key| {
                filter.matches(key) && of_class(key)
            })
        }
        document::Indicator::BetweenTokens => {
            count_within(growth, BETWEEN_TOKENS, bound_seconds, |key| filter.matches(key))
        }
        document::Indicator::ShortSlowdown => {
            count_within(growth, SHORT_SLOWDOWN, definition.bound, |key| filter.matches(key))
        }
        document::Indicator::WithinDeadline => count_requests(growth, filter, is_done),
        document::Indicator::KnownOutcome => count_requests(growth, filter, is_known),
    }
}

/// Whether the whole answer was delivered within its deadline. Entry hosts end a request at its
/// deadline, so a late answer does not end as `done`.
fn is_done(outcome: &str) -> bool {
    outcome == outcome::Outcome::Done.as_str()
}

/// Whether it is known if the request ran.
fn is_known(outcome: &str) -> bool {
    outcome != outcome::Outcome::Unknown.as_str()
}

/// Whether `reason` is one that the sender of the request caused. Such requests are not counted as
/// events, neither good nor bad.
fn is_caller_fault_reason(reason: &str) -> bool {
    let reasons = outcome::Reason::ALL.into_iter();
    reasons.filter(|reason| reason.is_caller_fault()).any(|known| known.as_str() == reason)
}

/// Counts requests by their outcome.
fn count_requests<IsGood>(
    growth: &collections::BTreeMap<series::Key, f64>,
    filter: Filter<'_>,
    is_good: IsGood,
) -> Count
where
    IsGood: Fn(&str) -> bool,
{
    let metric = match filter {
        Filter::Customer(_) => CUSTOMER_REQUESTS,
        Filter::All | Filter::Model(_) | Filter::Zone(_) => REQUESTS,
    };
    let mut count = Count::default();
    for (key, &grown) in growth {
        if key.metric != metric
            || !filter.matches(key)
            || is_caller_fault_reason(key.label("reason"))
        {
            continue;
        }
        count.total += grown;
        if is_good(key.label("outcome")) {
            count.good += grown;
        }
    }
    count
}

/// Counts the events of a histogram at or below `bound`. Events are assumed to be spread evenly
/// within a bucket; those in the last, unbounded bucket count as above the bound.
fn count_within<Matches>(
    growth: &collections::BTreeMap<series::Key, f64>,
    metric: &str,
    bound: f64,
    matches: Matches,
) -> Count
where
    Matches: Fn(&series::Key) -> bool,
{
    let buckets = buckets(growth, metric, matches);
    let total = buckets.last().map_or(0.0, |&(_, events)| events);
    let (mut lower, mut events_at_lower) = (0.0, 0.0);
    for &(upper, events) in &buckets {
        if upper >= bound {
            let position = if upper.is_finite() { (bound - lower) / (upper - lower) } else { 0.0 };
            let good = events_at_lower + (events - events_at_lower) * position;
            return Count { good, total };
        }
        (lower, events_at_lower) = (upper, events);
    }
    Count { good: total, total }
}

/// Returns the cumulative buckets of a histogram as pairs of upper bound and events, summed over
/// the keys that `matches` accepts.
pub fn buckets<Matches>(
    growth: &collections::BTreeMap<series::Key, f64>,
    metric: &str,
    matches: Matches,
) -> Vec<(f64, f64)>
where
    Matches: Fn(&series::Key) -> bool,
{
    let mut sums: Vec<(f64, f64)> = Vec::new();
    for (key, &grown) in growth {
        if key.metric != metric || !matches(key) {
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

/// Returns the value below which the share `fraction` of a histogram's events lie, or `None`
/// without events. A quantile above the highest finite bound is reported as that bound.
///
/// ```
/// use lagoon_burn::indicator;
/// let buckets = [(1.0, 50.0), (2.0, 100.0), (f64::INFINITY, 100.0)];
/// assert_eq!(indicator::quantile(&buckets, 0.75), Some(1.5));
/// ```
pub fn quantile(buckets: &[(f64, f64)], fraction: f64) -> Option<f64> {
    let total = buckets.last().map(|&(_, events)| events).filter(|&events| events > 0.0)?;
    let rank = total * fraction;
    let (mut lower, mut events_at_lower) = (0.0, 0.0);
    for &(upper, events) in buckets {
        if events >= rank && upper.is_finite() {
            // An empty bucket would cause a division by 0, so the divisor is at least
            // `f64::MIN_POSITIVE`.
            let position =
                (rank - events_at_lower) / (events - events_at_lower).max(f64::MIN_POSITIVE);
            return Some(lower + (upper - lower) * position);
        }
        if upper.is_finite() {
            (lower, events_at_lower) = (upper, events);
        }
    }
    Some(lower)
}
