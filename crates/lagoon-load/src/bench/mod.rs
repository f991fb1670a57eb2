//! Discrete-event simulation of `lagoonline::load` with simulated engines, in virtual time.
//!
//! One event loop processes arrivals, engine steps and load reports. A simulated engine has a
//! prefill rate, a KV memory and delayed load reports. Arrivals are open-loop: they are drawn from
//! the seed before the run, do not depend on the fate of earlier requests, and are the same for
//! every policy.

pub mod arrival;
pub mod engine;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod simulation;
