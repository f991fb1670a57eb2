//! Decision logic and state machines of a serving layer for prompts of very different lengths.
//!
//! Nothing here opens a socket, reads a clock or starts a task: time and randomness are passed in,
//! and external systems are accessed through the traits in [`port`]. The adapters are in the crate
//! `lagoon-net`.
//!
//! ```
//! use lagoonline::{clock, id, outcome};
//!
//! let model = id::Model::from("tin-label");
//! let deadline = clock::Moment::from_millis(5) + clock::Span::from_millis(250);
//! assert_eq!(model.as_str(), "tin-label");
//! assert_eq!(deadline, clock::Moment::from_millis(255));
//! assert_eq!(outcome::Outcome::NotRun.as_str(), "not-run");
//! ```

pub mod check;
pub mod clock;
pub mod control;
pub mod id;
pub mod lifecycle;
pub mod load;
pub mod outcome;
pub mod port;
pub mod routing;
pub mod view;
