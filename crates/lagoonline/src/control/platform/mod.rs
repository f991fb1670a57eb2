//! Limits for calls to the platform's table service: a rate budget, a circuit breaker and backoff.
//!
//! Hundreds of hosts share several hundred writes and 2,000 reads per second. After an outage all
//! of them try to catch up at once; without these limits the platform would be overloaded as soon
//! as it recovers.

mod backoff;
mod breaker;
mod budget;

pub use backoff::*;
pub use breaker::*;
pub use budget::*;
