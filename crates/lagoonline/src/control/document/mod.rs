//! The operators' document: one section for each team.

mod body;
mod section;

pub use body::*;
pub use section::*;
