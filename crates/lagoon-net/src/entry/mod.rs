//! Data path of an entry host: accepts HTTP requests and forwards them to upstreams.
//!
//! A caller sends a request, also named a call. Each dispatch of a call to an upstream is an
//! attempt with an id of its own. A broken stream is resumed (same attempt, same engine), or the
//! call is continued by a new attempt on another engine, which skips the tokens that were
//! delivered. A retry with an idempotency key at another entry host takes over the running attempt.
//!
//! Accepting calls:
//! - `server` listens, routes and drains; `state` is shared by its threads and `worker` belongs to
//!   one of them.
//! - `call` authenticates and parses a request's head, `body` reads or discards a request body,
//!   `fault` is the error that a caller gets.
//! - `interrupt` stops a wait at the deadline or when a drain is aborted; `linger` closes
//!   connections that stay open too long after it.
//! - `settings` and `queue_settings` read the settings file, `metrics` counts.
//!
//! Model calls:
//! - `model` handles them, `prompt` parses the body, `admission` queues them for slots on engines.
//! - `generation` runs one call, `group` reserves memory on several engines, `cancel` repeats
//!   cancels until they are acknowledged.
//! - `relay` streams the response, `render` formats it.
//!
//! Service calls:
//! - `services` handles them, `replica` chooses the replica, `forwarded_body` streams the request
//!   body, `claims` runs the calls whose idempotency key is claimed.
//!
//! `link` exchanges loads, rate limit usage and leaving marks with the steward. Scheduling and the
//! states of requests are decided in `lagoonline::load` and `lagoonline::lifecycle`.

mod admission;
mod body;
mod call;
mod cancel;
mod claims;
mod fault;
mod forwarded_body;
mod generation;
mod group;
mod interrupt;
mod linger;
mod link;
mod metrics;
mod model;
mod prompt;
mod queue_settings;
mod relay;
mod render;
mod replica;
mod server;
mod services;
mod settings;
mod state;
mod worker;

pub use server::{Ending, Handle, Resources, Running, start};
pub use settings::{Limits, LoadError, LoadErrorCause, Settings, parse_document};
