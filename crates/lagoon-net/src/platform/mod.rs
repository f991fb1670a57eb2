//! HTTP client of the platform's table service, object store and list of hosts.
//!
//! All assumptions about the platform's interface are in this module; see `docs/PROTOCOLS.md`.

mod client;
mod hosts;
mod objects;
mod settings;
mod table;

pub use client::*;
pub use settings::*;
