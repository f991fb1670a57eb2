//! Stand-ins for the platform, engines and services in tests, with fault switches.
//!
//! Small servers that take the place of the platform, the engines and the services in the protocols
//! of `docs/PROTOCOLS.md`. Many of them share one set of worker threads, so a whole fleet fits in
//! one process.
//!
//! ```
//! use lagoon_standin::engine;
//! let running = engine::start(engine::Settings::default()).unwrap();
//! assert_ne!(running.address().port(), 0);
//! assert_eq!(running.node().record().bytes_reserved, 0);
//! running.stop();
//! ```

pub mod answer;
pub mod control;
pub mod engine;
pub mod fault;
pub mod fleet;
mod listener;
pub mod platform;
pub mod prompt;
pub mod server;
pub mod service;
pub mod transport;
