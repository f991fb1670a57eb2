//! Saved scrapes: `DIR/HOST/SECOND.prom`, where SECOND counts from the Unix epoch.

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
        /// Which.
        path: path::PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A text is no exposition of metrics.
    #[error("metrics of {host} at {second}: {error}")]
    Parse {
        /// The entry host.
        host: String,
        /// When it was scraped.
        second: u64,
        /// Why.
        error: io::Error,
    },
}

/// Scrapes of all hosts, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Each entry host's scrapes.
    pub hosts: collections::BTreeMap<String, Vec<series::Scrape>>,
    /// Files passed over, with the reason: a cut file of a host that died must not stop a report.
    pub skipped: Vec<String>,
}

impl Store {
    /// Reads all scrapes below `dir`; files that cannot be understood are listed in `skipped`.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    pub fn read(dir: &path::Path) -> Result<Store, Error> {
        let mut store = Store::default();
        for host in list(dir)? {
            if !host.is_dir() {
                continue;
            }
            let name = host.file_name().unwrap_or_default().to_string_lossy().into_owned();
            store.hosts.entry(name.clone()).or_default();
            for file in list(&host)? {
                store.read_file(&name, &file);
            }
        }
        Ok(store)
    }

    fn read_file(&mut self, host: &str, file: &path::Path) {
        let stem = file.file_stem().unwrap_or_default().to_string_lossy();
        let Ok(second) = stem.parse() else {
            self.skipped.push(format!("{}: its name is no time", file.display()));
            return;
        };
        let read = fs::read_to_string(file)
            .map_err(|error| Error::Read { path: file.to_owned(), error })
            .and_then(|text| self.add(host, second, &text));
        if let Err(error) = read {
            self.skipped.push(error.to_string());
        }
    }

    /// Adds one scrape of `host`, as OpenMetrics or Prometheus text.
    ///
    /// # Errors
    ///
    /// The text is no exposition of metrics.
    ///
    /// ```
    /// use lagoon_burn::store::Store;
    /// let mut store = Store::default();
    /// store.add("suva-1", 10, "# TYPE lagoon_retries counter\nlagoon_retries_total 3\n").unwrap();
    /// let counters = &store.hosts["suva-1"][0].counters;
    /// assert_eq!(counters.first_key_value().unwrap().0.metric, "lagoon_retries");
    /// ```
    pub fn add(&mut self, host: &str, second: u64, text: &str) -> Result<(), Error> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let parsed = prometheus_parse::Scrape::parse(lines).map_err(|error| Error::Parse {
            host: host.to_owned(),
            second,
            error,
        })?;
        let mut scrape = series::Scrape { second, ..series::Scrape::default() };
        for sample in parsed.samples {
            add_sample(&mut scrape, sample);
        }
        let scrapes = self.hosts.entry(host.to_owned()).or_default();
        let place = scrapes.partition_point(|other| other.second < second);
        scrapes.insert(place, scrape);
        Ok(())
    }

    /// Time of the last scrape of any host.
    pub fn last_second(&self) -> Option<u64> {
        self.hosts.values().filter_map(|scrapes| scrapes.last()).map(|scrape| scrape.second).max()
    }

    /// Median time between two scrapes of one host, in seconds; 60 when there are none.
    pub fn interval(&self) -> u64 {
        let pairs = self.hosts.values().flat_map(|scrapes| scrapes.windows(2));
        let mut steps: Vec<u64> = pairs.map(|pair| pair[1].second - pair[0].second).collect();
        steps.sort_unstable();
        steps.get(steps.len() / 2).copied().unwrap_or(60).max(1)
    }
}

fn list(dir: &path::Path) -> Result<Vec<path::PathBuf>, Error> {
    let fail = |error| Error::Read { path: dir.to_owned(), error };
    let entries = fs::read_dir(dir).map_err(fail)?;
    let mut paths = Vec::new();
    for entry in entries {
        paths.push(entry.map_err(fail)?.path());
    }
    paths.sort();
    Ok(paths)
}

fn add_sample(scrape: &mut series::Scrape, sample: prometheus_parse::Sample) {
    let labels: collections::BTreeMap<String, String> =
        sample.labels.iter().map(|(name, value)| (name.clone(), value.clone())).collect();
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
        // Gauges and summaries are no counters: nothing to burn in them.
        prometheus_parse::Value::Gauge(_) | prometheus_parse::Value::Summary(_) => {}
    }
}
