//! lagoon-load: load and experiment tools.

pub mod bench;
pub mod direct;
pub mod http;
pub mod soak;
pub mod trial;
