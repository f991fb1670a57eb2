//! Entry host of lagoonline on the users' platform: one process that takes callers' requests,
//! decides with the library [`lagoonline`] where they go, and talks to upstreams, to the platform's
//! store and to the other entry hosts.
//!
//! A request of a caller passes through these modules: `server` reads it, `admit` finds its
//! route and customer, `place` chooses an upstream and reserves memory there, `forward` makes
//! the attempts, `stream` forwards the events of a streamed answer, `conclude` decides whether
//! what came is whole, and `body` ends the caller's answer accordingly. A dispatch is one attempt
//! at one upstream. `mesh` shares dispatches in flight with the other hosts, and `relay` the
//! platform's tables with the hosts of the same zone.
//!
//! The platform's names and formats are confined to the crate [`lagoon_platform`].

mod admit;
mod answer;
mod attempt;
mod backoffs;
mod body;
mod buffers;
mod carriers;
mod clock;
mod cold;
mod conclude;

mod connection;
mod crash;
mod departures;
mod eligibility;
mod era;
mod event;
mod exchange;
mod forward;
mod heads;
mod hosts;
mod in_flight;
mod limits;
mod logs;
mod mesh;
mod message;
mod meter;
mod metrics;
mod path;
mod payload;
mod peers;
mod place;
mod publish;
mod quarantine;
mod question;
mod reading;
mod relay;
mod report;
mod reserve;
mod retries;
mod schedule;
mod server;
mod settings;
mod shares;
mod silence;
mod state;
mod store;
mod stream;
mod tables;
mod tcp;
mod upload;
mod watch;

pub use clock::BootClock;
pub use logs::start as start_logs;
pub use server::{Handle, Running, start};
pub use settings::{Settings, Tuning, load};
