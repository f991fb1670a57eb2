//! lagoon-steward.
fn main() {}
