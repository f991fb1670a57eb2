//! Decision logic and state machines of a serving layer for prompts of very different lengths.
//!
//! Nothing here opens a socket or starts a task. Randomness is passed in. Time is passed in or read
//! through the trait [`clock::Clock`], whose [`clock::System`] is the only code here that reads the
//! clock of the operating system. External systems are accessed through the traits in [`port`]. The
//! adapters are in the crates that use this one:
//!
//! - `lagoon-gateway`, a gateway to upstreams that register themselves, uses mainly [`routing`],
//!   [`load::placement`], [`lifecycle::fingerprint`] and [`lifecycle::quarantine`];
//! - `lagoon-net`, the entry and steward programs, uses the other modules.
//!
//! Terms used throughout:
//!
//! - an entry host accepts requests from callers and dispatches them to upstreams; its steward is
//!   the control process that runs beside the entry process;
//! - an upstream is a model engine or a replica of a plain service;
//! - an attempt is one dispatch of a request to an upstream; its id type, [`id::Attempt`], also
//!   identifies idempotency claims and reservations;
//! - the platform provides the table service, the object store and the list of hosts;
//! - the document is the configuration of all teams, with one section per team.
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
pub mod event_stream;
pub mod id;
pub mod lifecycle;
pub mod load;
pub mod outcome;
pub mod port;
pub mod routing;
pub mod view;
