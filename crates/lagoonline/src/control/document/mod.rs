//! The configuration document that operators edit, with one section per team.
//!
//! A section is a JSON text with its own version. Stewards store it in the platform's table,
//! replicate it to every host as a whole or as deltas, and the entry hosts parse it.

mod body;
mod delta;
mod diff;
mod section;
mod store;
mod whole;

pub use body::*;
pub use delta::*;
pub use diff::*;
pub use section::*;
pub use store::*;
pub use whole::*;
