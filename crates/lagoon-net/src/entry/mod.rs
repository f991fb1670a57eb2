//! Data path of an entry host: callers' HTTP in, upstreams' HTTP out.
//!
//! `server` listens and drains, `call` reads a request's head, `model` and `services` answer the
//! two kinds of calls, `desk` waits for places, `pull` follows one model call through dispatch,
//! resumption and continuation, `relay` streams to the caller, `cancel` repeats cancels. Decisions
//! are made in `lagoonline::load` and `lagoonline::lifecycle`.

mod body;
mod call;
mod cancel;
mod claims;
mod desk;
mod fault;
mod group;
mod limit;
mod linger;
mod link;
mod metrics;
mod model;
mod prompt;
mod pull;
mod queue;
mod relay;
mod render;
mod replica;
mod server;
mod services;
mod settings;
mod source;
mod state;
mod worker;

pub use server::{Ending, Handle, Held, Running, start};
pub use settings::{Cause, Limits, Settings, Unusable, parse_document};
