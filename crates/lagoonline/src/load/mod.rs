//! Decisions under load: what is let in, what waits, what is turned away, where work goes.
//!
//! [`Scheduler`] is the face; each other module has one decision. A request passes [`admit`] by
//! the [`predict`]ions, the queue ([`fair`] within length classes), the routing (by each
//! upstream's [`rate`], [`ramp`], [`outlier`] state and [`prefix`] cache, with some engines kept
//! [`clear`]), and perhaps [`retry`]; prompts beyond one engine go to a [`group`].

pub mod admit;
mod baseline;
pub mod clear;
pub mod fair;
pub mod floor;
pub mod group;
pub mod limit;
pub mod outlier;
pub mod pass;
pub mod placement;
pub mod predict;
pub mod prefix;
mod queue;
pub mod ramp;
pub mod rate;
pub mod retry;
mod route;
mod scheduler;
mod settings;
mod shards;
pub mod shift;
pub mod silence;
pub mod slowdown;
pub mod tokens;
mod upstream;
pub mod usage;

pub use scheduler::*;
pub use settings::*;
pub use shards::*;
