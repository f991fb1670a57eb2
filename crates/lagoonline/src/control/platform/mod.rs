//! Rules of calling the platform: a budget below its limits, a breaker, and backoff.
//!
//! Load pattern: hundreds of hosts share several hundred writes and 2,000 reads a second, and
//! after an outage all want to catch up at once. Without these rules the recovery is an overload.

mod backoff;
mod breaker;
mod budget;

pub use backoff::*;
pub use breaker::*;
pub use budget::*;
