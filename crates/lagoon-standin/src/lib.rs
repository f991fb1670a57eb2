//! Stand-ins of the platform, engines and services, with fault switches.
//!
//! Small servers that speak the foreign side of `docs/PROTOCOLS.md`. Many of them share one set of
//! worker threads, so a whole fleet fits one process.
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
mod gate;
pub mod platform;
pub mod port;
pub mod prompt;
pub mod server;
pub mod service;
