//! Reads saved scrapes from `DIR/HOST/SECOND.prom`, where SECOND is the time of the scrape in
//! seconds since the Unix epoch.

use std::collections;
use std::fs;
use std::io;
use std::path;

use crate::series;

/// Why saved scrapes could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or folder could not be read.
    #[error("reading {}: {error}", path.display())]
    Read {
        /// The file or folder.
        path: path::PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// A scrape is neither in OpenMetrics nor in Prometheus text format.
    #[error("metrics of {host} at {timestamp}: {error}")]
    Parse {
        /// The entry host.
        host: String,
        /// Time of the scrape, in seconds since the Unix epoch.
        timestamp: u64,
        /// The cause.
        error: io::Error,
    },
}

/// Scrapes of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Scrapes of each entry host by its name, in order of time.
    pub hosts: collections::BTreeMap<String, Vec<series::Scrape>>,
    /// Files that were skipped, with the reason. A file that was truncated because its host crashed
    /// must not prevent a report.
    pub skipped: Vec<String>,
}

impl Store {
    /// Reads all scrapes below `dir`. Files that cannot be read or parsed are listed in `skipped`.
    ///
    /// # Errors
    ///
    /// `dir` or a host's folder cannot be listed.
    pub fn read(dir: &path::Path) -> Result<Store, Error> {
        let mut store = Store::default();
        for host in list_dir(dir)? {
            if !host.is_dir() {
                continue;
            }
            let name = host.file_name().unwrap_or_default().to_string_lossy().into_owned();
            // A host without scrapes is kept, so that the report lists it as missing.
            store.hosts.entry(name.clone()).or_default();
            for file in list_dir(&host)? {
                store.read_file(&name, &file);
            }
        }
        Ok(store)
    }

    fn read_file(&mut self, host: &str, file: &path::Path) {
        let stem = file.file_stem().unwrap_or_default().to_string_lossy();
        let Ok(timestamp) = stem.parse() else {
            self.skipped.push(format!("{}: its name is no time", file.display()));
            return;
        };
        let read = fs::read_to_string(file)
            .map_err(|error| Error::Read { path: file.to_owned(), error })
            .and_then(|text| self.add(host, timestamp, &text));
        if let Err(error) = read {
            self.skipped.push(error.to_string());
        }
    }

    /// Adds one scrape of `host`, in OpenMetrics or Prometheus text format.
    ///
    /// # Errors
    ///
    /// `text` cannot be parsed.
    ///
    /// ```
    /// use lagoon_burn::store::Store;
    /// let mut store = Store::default();
    /// store.add("suva-1", 10, "# TYPE lagoon_retries counter\nlagoon_retries_total 3\n").unwrap();
    /// let counters = &store.hosts["suva-1"][0].counters;
    /// assert_eq!(counters.first_key_value().unwrap().0.metric, "lagoon_retries");
    /// ```
    pub fn add(&mut self, host: &str, timestamp: u64, text: &str) -> Result<(), Error> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let parsed = prometheus_parse::Scrape::parse(lines).map_err(|error| Error::Parse {
            host: host.to_owned(),
            timestamp,
            error,
        })?;
        let mut scrape = series::Scrape { timestamp, ..series::Scrape::default() };
        for sample in parsed.samples {
            add_sample(&mut scrape, sample);
        }
        let scrapes = self.hosts.entry(host.to_owned()).or_default();
        let index = scrapes.partition_point(|other| other.timestamp < timestamp);
        scrapes.insert(index, scrape);
        Ok(())
    }

    /// Returns the time of the last scrape of any host, in seconds since the Unix epoch.
    pub fn last_timestamp(&self) -> Option<u64> {
        self.hosts
            .values()
            .filter_map(|scrapes| scrapes.last())
            .map(|scrape| scrape.timestamp)
            .max()
    }

    /// Returns the median time between two consecutive scrapes of a host, in seconds. 60 if no host
    /// has two scrapes, and at least 1, since plots use it as a step.
    pub fn interval(&self) -> u64 {
        let pairs = self.hosts.values().flat_map(|scrapes| scrapes.windows(2));
        let mut intervals: Vec<u64> =
            pairs.map(|pair| pair[1].timestamp - pair[0].timestamp).collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied().unwrap_or(60).max(1)
    }
}

/// Returns the paths of the entries of `dir`, sorted.
fn list_dir(dir: &path::Path) -> Result<Vec<path::PathBuf>, Error> {
    let fail = |error| Error::Read { path: dir.to_owned(), error };
    let entries = fs::read_dir(dir).map_err(fail)?;
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.map_err(fail)?.path());
    }
    paths.sort();
    Ok(paths)
}

/// Adds the values of a counter or of the buckets of a histogram to `scrape`.
fn add_sample(scrape: &mut series::Scrape, sample: prometheus_parse::Sample) {
    let labels: collections::BTreeMap<String, String> =
        sample.labels.iter().map(|(name, value)| (name.clone(), value.clone())).collect();
    // Samples without a TYPE line are untyped. They are taken as counters.
    match sample.value {
        prometheus_parse::Value::Counter(value) | prometheus_parse::Value::Untyped(value) => {
            let metric = sample.metric.strip_suffix("_total").unwrap_or(&sample.metric).to_owned();
            scrape.counters.insert(series::Key { metric, labels }, value);
        }
        prometheus_parse::Value::Histogram(buckets) => {
            for bucket in buckets {
                let mut labels = labels.clone();
                labels.insert("le".to_owned(), bucket.less_than.to_string());
                let metric = sample.metric.clone();
                scrape.counters.insert(series::Key { metric, labels }, bucket.count);
            }
        }
        // No indicator is computed from gauges or summaries.
        prometheus_parse::Value::Gauge(_) | prometheus_parse::Value::Summary(_) => {}
    }
}
