//! The operators' document: one section for each team.

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
