//! lagoon-entry.
fn main() {}
