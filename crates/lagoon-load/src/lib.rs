//! lagoon-load.
