//! Growth of counters over time, across restarts of their host.

use std::collections;

/// Identifies one counter by its metric and labels.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Name of the metric, without `_total` or `_bucket`.
    pub metric: String,
    /// Labels by name. A histogram's bucket has its upper bound as `le`.
    pub labels: collections::BTreeMap<String, String>,
}

impl Key {
    /// Whether the labels `kind` and `name` select `model`. Request counters have these labels,
    /// which also name services; other metrics name the model in the label `model`.
    pub(crate) fn names_model(&self, model: &str) -> bool {
        self.label("kind") == "model" && self.label("name") == model
    }

    /// Returns the value of the label `name`, or an empty string if it is not set.
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// Counters of one host at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scrape {
    /// Time of the scrape, in seconds since the Unix epoch.
    pub timestamp: u64,
    /// Values of all counters and histogram buckets.
    pub counters: collections::BTreeMap<Key, f64>,
}

/// Returns the growth of each counter of one host between the timestamps `from` (exclusive) and
/// `to` (inclusive).
///
/// Failure mode: a host restarts and its counters start again at 0. Subtracting the old value from
/// the new one would then give a negative growth, and the report would show fewer errors than there
/// were. A counter that decreased is therefore assumed to have restarted from 0. This loses only
/// the events between the last scrape before the restart and the restart itself, unless the counter
/// has reached its old value again by the next scrape: such a restart is not noticed.
///
/// ```
/// use lagoon_burn::series;
/// let key = series::Key { metric: "m".into(), ..Default::default() };
/// let scrape = |timestamp, value| series::Scrape {
///     timestamp,
///     counters: [(key.clone(), value)].into(),
/// };
/// let scrapes = [scrape(0, 5.0), scrape(10, 9.0), scrape(20, 2.0)];
/// assert_eq!(series::growth(&scrapes, 0, 20)[&key], 6.0);
/// assert_eq!(series::growth(&scrapes, 10, 20)[&key], 2.0);
/// ```
pub fn growth(scrapes: &[Scrape], from: u64, to: u64) -> collections::BTreeMap<Key, f64> {
    let mut grown = collections::BTreeMap::new();
    // The first scrape of a host is only a baseline: when its counters started to grow is unknown.
    let first = scrapes.partition_point(|scrape| scrape.timestamp <= from).max(1);
    let last = scrapes.partition_point(|scrape| scrape.timestamp <= to);
    for index in first..last {
        for (key, &value) in &scrapes[index].counters {
            let before = scrapes[index - 1].counters.get(key).copied().unwrap_or(0.0);
            let delta = if value < before { value } else { value - before };
            match grown.get_mut(key) {
                Some(sum) => *sum += delta,
                None => drop(grown.insert(key.clone(), delta)),
            }
        }
    }
    grown
}

/// Returns the share of the time from `from` to `to` that lies between two consecutive scrapes at
/// most `max_interval` seconds apart.
///
/// ```
/// use lagoon_burn::series;
/// let scrape = |timestamp| series::Scrape { timestamp, ..Default::default() };
/// let scrapes = [scrape(0), scrape(10), scrape(50)];
/// assert_eq!(series::coverage(&scrapes, 0, 50, 20), 0.2);
/// ```
pub fn coverage(scrapes: &[Scrape], from: u64, to: u64, max_interval: u64) -> f64 {
    let mut covered = 0;
    for pair in scrapes.windows(2) {
        let (begin, end) = (pair[0].timestamp.max(from), pair[1].timestamp.min(to));
        if end > begin && pair[1].timestamp - pair[0].timestamp <= max_interval {
            covered += end - begin;
        }
    }
    if to > from { covered as f64 / (to - from) as f64 } else { 0.0 }
}
