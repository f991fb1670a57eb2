//! Client for operators' calls to stewards.

mod client;
mod settings;

pub use client::*;
pub use settings::*;
