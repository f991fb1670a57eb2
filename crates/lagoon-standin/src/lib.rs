//! lagoon-standin.
