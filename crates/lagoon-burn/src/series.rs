//! Counters over time: what they grew by, also over restarts.

use std::collections;

/// Names one counter: its metric and its labels.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The metric, without `_total` or `_bucket`.
    pub metric: String,
    /// Labels by name. A histogram's bucket has its upper bound as `le`.
    pub labels: collections::BTreeMap<String, String>,
}

impl Key {
    /// Whether it counts requests for the model.
    pub(crate) fn is_of_model(&self, model: &str) -> bool {
        self.label("kind") == "model" && self.label("name") == model
    }

    /// The label's value, empty when it has none.
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// One host's counters at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scrape {
    /// Seconds since the Unix epoch.
    pub second: u64,
    /// Every counter and histogram bucket.
    pub counters: collections::BTreeMap<Key, f64>,
}

/// Growth of each counter of one host from `from` (exclusive) to `to` (inclusive), in seconds.
///
/// Failure answered: a host restarts and its counters begin again. Symptom: the difference of two
/// scrapes is negative, and the report shows fewer errors than there were. A counter that fell is
/// taken to have begun at 0, which loses only what came between its last scrape and its end.
///
/// ```
/// use lagoon_burn::series;
/// let key = series::Key { metric: "m".into(), ..Default::default() };
/// let scrape = |second, value| series::Scrape { second, counters: [(key.clone(), value)].into() };
/// let scrapes = [scrape(0, 5.0), scrape(10, 9.0), scrape(20, 2.0)];
/// assert_eq!(series::growth(&scrapes, 0, 20)[&key], 6.0);
/// assert_eq!(series::growth(&scrapes, 10, 20)[&key], 2.0);
/// ```
pub fn growth(scrapes: &[Scrape], from: u64, to: u64) -> collections::BTreeMap<Key, f64> {
    let mut grown = collections::BTreeMap::new();
    let first = scrapes.partition_point(|scrape| scrape.second <= from).max(1);
    let last = scrapes.partition_point(|scrape| scrape.second <= to);
    for index in first..last {
        for (key, &value) in &scrapes[index].counters {
            let before = scrapes[index - 1].counters.get(key).copied().unwrap_or(0.0);
            let step = if value < before { value } else { value - before };
            match grown.get_mut(key) {
                Some(sum) => *sum += step,
                None => drop(grown.insert(key.clone(), step)),
            }
        }
    }
    grown
}

/// Share of the time from `from` to `to` that lies between two scrapes no further apart than
/// `gap` seconds.
///
/// ```
/// use lagoon_burn::series;
/// let scrape = |second| series::Scrape { second, ..Default::default() };
/// let scrapes = [scrape(0), scrape(10), scrape(50)];
/// assert_eq!(series::coverage(&scrapes, 0, 50, 20), 0.2);
/// ```
pub fn coverage(scrapes: &[Scrape], from: u64, to: u64, gap: u64) -> f64 {
    let mut covered = 0;
    for pair in scrapes.windows(2) {
        let (begin, end) = (pair[0].second.max(from), pair[1].second.min(to));
        if end > begin && pair[1].second - pair[0].second <= gap {
            covered += end - begin;
        }
    }
    if to > from { covered as f64 / (to - from) as f64 } else { 0.0 }
}
