//! The platform's table service, object store and list of hosts, by HTTP.
//!
//! Everything that guesses the platform's interface is here; see `docs/PROTOCOLS.md`.

mod client;
mod hosts;
mod objects;
mod settings;
mod table;

pub use client::*;
pub use settings::*;
