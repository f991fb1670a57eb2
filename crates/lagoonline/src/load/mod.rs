//! Load management: admission, queueing, refusal and routing of requests.
//!
//! There are two independent decision makers. [`Scheduler`], used by the entry host of
//! `lagoon-net`, decides for one model at one entry host; its upstreams report their load.
//! [`placement`], used by `lagoon-gateway`, decides for one service whose engines publish a
//! performance [`profile`]; its hosts tell each other what they have in flight, and keep the
//! [`upstream_limit`]s that upstreams name, the times for which these want no requests
//! ([`backoff`]), and those for which they are [`cold`].
//!
//! A request to the [`Scheduler`] passes [`admit`] according to the [`predict`]ions, the queue
//! ([`fair`] within length classes), the routing (by each upstream's [`slowness`], [`ramp`],
//! [`outlier`] state and [`prefix`] cache, with some engines kept [`clear`] of long prompts and a
//! [`floor`] of each engine's rate reserved for longer ones), and possibly [`retry`]; prompts
//! larger than one engine go to a [`group`]. [`rebalance`] moves engines between models.

pub mod admit;
pub mod backoff;
mod baseline;
pub mod buffers;
pub mod clear;
pub mod cold;
pub mod connections;
pub mod fair;
pub mod floor;
pub mod group;
pub mod limit;
pub mod outlier;
pub mod placement;
pub mod predict;
pub mod prefix;
pub mod profile;
pub mod progress;
mod queue;
pub mod ramp;
pub mod rebalance;
pub mod retry;
mod route;
mod scheduler;
mod schedulers;
mod settings;
pub mod silence;
pub mod slowdown;
pub mod slowness;
pub mod tokens;
mod upstream;
pub mod upstream_limit;
pub mod usage;

pub use scheduler::*;
pub use schedulers::*;
pub use settings::*;
