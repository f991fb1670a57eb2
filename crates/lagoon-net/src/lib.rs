//! Network adapters of lagoonline: the data path of entry hosts, the steward, and the clients of
//! engines, services and the platform.
//!
//! Each external system has a client module, so that a wrong assumption about its interface can be
//! corrected in one place: `engine` for model engines, `service` for plain services, `platform` for
//! the table service, the object store and the list of hosts. The exception is the control
//! interface of engines: the steward reads loads (`steward::observe`) and sends commands
//! (`steward::reconcile`) by itself. `entry` is the data path, `steward` the control process beside
//! it, `link` the connection between the two and `wire` its messages. `operator` is the client of
//! the operators' program. `program`, `signals` and `logs` are shared by the binaries, and `turn` by
//! all that read answers.
//!
//! ```
//! use lagoon_net::wire;
//! let key = wire::Key::new(b"shared by all hosts of a fleet");
//! assert_eq!(key.tag(b"frame"), key.tag(b"frame"));
//! assert_ne!(key.tag(b"frame"), key.tag(b"other"));
//! ```

pub mod engine;
pub mod entry;
mod framing;
pub mod link;
pub mod logs;
pub mod operator;
pub mod platform;
pub mod program;
pub mod service;
pub mod signals;
pub mod steward;
pub mod turn;
pub mod wire;
