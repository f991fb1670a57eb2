//! Decisions under load: what is let in, what waits, what is turned away, where work goes.

mod scheduler;

pub use scheduler::*;
