//! The link of an entry process to its steward, and the channel that carries its frames.
//!
//! The steward pushes sections, loads and marks; the entry process reports its state. Without a
//! steward the entry process keeps using its last state, whose age is [`Handle::view_age`].

mod channel;
mod client;
mod settings;

pub use channel::*;
pub use client::*;
pub use settings::*;
