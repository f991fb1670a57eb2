//! Traits through which the decision logic accesses external systems: model engines, and the
//! platform's table service, object store and host list. They are implemented by adapters, and by
//! fakes in tests.
//!
//! The futures need not be `Send`, because each worker thread has its own runtime.

pub mod engine;
pub mod hosts;
pub mod objects;
pub mod table;
