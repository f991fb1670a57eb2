//! An entry host over real sockets, beside stand-in engines and services.

mod bad_input;
mod drain;
mod host;
mod metrics;
mod model;
mod service;
mod stream;
