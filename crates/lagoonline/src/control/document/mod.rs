//! The configuration document that operators edit, with one section per team.
//!
//! A section is a JSON text with its own version. Stewards store it in the platform's table,
//! replicate it to every host as a whole or as deltas, and the entry hosts parse it.

mod body;
mod consistency;
mod delta;
mod diff;
mod section;
mod store;

pub use body::*;
pub use consistency::*;
pub use delta::*;
pub use diff::*;
pub use section::*;
pub use store::*;
