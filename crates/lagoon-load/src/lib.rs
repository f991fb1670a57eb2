//! lagoon-load: load generators, fault tests and benchmarks.

pub mod backoffs;
pub mod bench;
pub mod completeness;
pub mod departures;
pub mod direct;
pub mod http;
pub mod limits;
pub mod parts;
pub mod paths;
pub mod retries;
pub mod soak;
mod timeline;
pub mod trial;
