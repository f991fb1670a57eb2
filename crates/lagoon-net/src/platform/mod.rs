//! The platform's table service, object store, list of hosts and weight store, by HTTP.
//!
//! Everything that guesses the platform's interface is here; see `docs/PROTOCOLS.md`.

mod client;
mod hosts;
mod objects;
mod settings;
mod table;
mod weights;

pub use client::*;
pub use settings::*;
