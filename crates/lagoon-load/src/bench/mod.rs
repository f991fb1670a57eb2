//! The decisions of `lagoonline::load` before fake engines, in virtual time.
//!
//! One loop over arrivals and engine steps; a fake engine is a rate, a memory and a lag. Arrivals
//! are open-loop: they are drawn beforehand from the seed and come whatever became of earlier ones,
//! the same for every policy.

pub mod arrival;
pub mod engine;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod world;
