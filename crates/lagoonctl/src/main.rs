//! lagoonctl.
fn main() {}
