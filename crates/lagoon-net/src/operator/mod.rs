//! Operators' calls of a steward: the side of the caller.

mod client;
mod settings;

pub use client::*;
pub use settings::*;
