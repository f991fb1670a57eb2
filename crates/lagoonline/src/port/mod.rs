//! What the decisions need of the outside, as traits; adapters and fakes implement them.
//!
//! Futures of these traits need not be `Send`: each worker thread has a runtime of its own.

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod table;
