//! The link of an entry process to its steward, and the channels that carry frames.
//!
//! A [`Channel`] is an authenticated connection between any two processes of a fleet. The link of
//! an entry process keeps a channel to its steward open. Stewards manage their own links, to each
//! other, to entry processes and to operators, in [`crate::steward`].
//!
//! The steward pushes sections, loads and marks; the entry process reports its state. Without a
//! steward the entry process keeps using its last state, whose age is [`Handle::view_age`].

mod channel;
mod client;
mod settings;

pub use channel::*;
pub use client::*;
pub use settings::*;
