//! Load management: admission, queueing, refusal and routing of requests.
//!
//! [`Scheduler`] is the interface for the data path; each other module makes one decision. A
//! request passes [`admit`] according to the [`predict`]ions, the queue ([`fair`] within length
//! classes), the routing (by each upstream's [`rate`], [`ramp`], [`outlier`] state and [`prefix`]
//! cache, with some engines kept [`clear`] of long prompts), and possibly [`retry`]; prompts larger
//! than one engine go to a [`group`].

pub mod admit;
mod baseline;
pub mod clear;
pub mod fair;
pub mod floor;
pub mod group;
pub mod limit;
pub mod outlier;
pub mod placement;
pub mod predict;
pub mod prefix;
pub mod profile;
mod queue;
pub mod ramp;
pub mod rate;
pub mod rebalance;
pub mod retry;
mod route;
mod scheduler;
mod settings;
mod shards;
pub mod silence;
pub mod slowdown;
pub mod tokens;
mod upstream;
pub mod usage;

pub use scheduler::*;
pub use settings::*;
pub use shards::*;
