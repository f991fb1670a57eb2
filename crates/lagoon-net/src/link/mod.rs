//! The entry process's link to its steward, and the channel of frames below it.
//!
//! The steward pushes sections, loads and marks; the entry process reports its state. Without a
//! steward the entry process goes on with what it has, and [`Handle::view_age`] says how old that
//! is.

mod channel;
mod client;
mod settings;

pub use channel::*;
pub use client::*;
pub use settings::*;
