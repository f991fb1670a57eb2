//! Reports the burn rate of service-level objectives, which is how fast each one uses up its error
//! budget, from saved scrapes of the entry hosts' metrics.
//!
//! ```
//! use lagoon_burn::{report, store};
//! use lagoonline::{control::document, id};
//! let text = r#"{"policy": {"objectives": [
//!     {"name": "answers", "indicator": "within_deadline", "target": 0.99}]}}"#;
//! // A team that is called `labels`, unrelated to the labels of metrics.
//! let team = id::Team::from("labels");
//! let section = document::Section::parse(team, id::Version(1), text).unwrap();
//! let mut store = store::Store::default();
//! for (timestamp, done, unknown) in [(0, 0, 0), (300, 990, 10)] {
//!     let scrape = format!(
//!         "# TYPE lagoon_requests counter\n\
//!          lagoon_requests_total{{outcome=\"done\",reason=\"none\"}} {done}\n\
//!          lagoon_requests_total{{outcome=\"unknown\",reason=\"upstream_failed\"}} {unknown}\n"
//!     );
//!     store.add("suva-1", timestamp, &scrape).unwrap();
//! }
//! let report = report::Report::new(&[section], &store, 300);
//! assert!((report.objectives[0].good_share.unwrap() - 0.99).abs() < 1e-9);
//! ```

pub mod collect;
pub mod indicator;
pub mod page;
pub mod plot;
pub mod report;
pub mod scope;
pub mod series;
pub mod store;
pub mod text;
pub mod window;
