//! lagoon-burn.
