//! lagoon-load: load and experiment tools.

pub mod bench;
pub mod direct;
pub mod soak;
pub mod trial;
