//! Data path of an entry host: accepts HTTP calls and forwards them to upstreams.
//!
//! `server` listens and drains, `call` parses a request's head, `model` and `services` handle the
//! two kinds of calls, `admission` queues requests for upstream slots, `generation` runs one model
//! call through dispatch, resumption and continuation, `relay` streams to the caller, and `cancel`
//! repeats cancels until they are acknowledged. Scheduling and request states are decided in
//! `lagoonline::load` and `lagoonline::lifecycle`.

mod admission;
mod body;
mod call;
mod cancel;
mod claims;
mod fault;
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
mod request_body;
mod server;
mod services;
mod settings;
mod state;
mod worker;

pub use server::{Ending, Handle, Resources, Running, start};
pub use settings::{Cause, Limits, LoadError, Settings, parse_document};
