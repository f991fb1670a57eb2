//! Tests of an entry host over real sockets, with stand-in engines and services.

mod bad_input;
mod claims;
mod drain;
mod host;
mod leaving;
mod link;
mod metrics;
mod model;
mod refuse;
mod runner;
mod service;
mod settings;
mod silence;
mod small_chunks;
mod stream;
mod takeover;
