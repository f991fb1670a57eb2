//! Limits that upstreams name on the requests which they take from all entry hosts together.
//!
//! Load pattern: an upstream in need asks, in the heads of its answers, for one or two requests a
//! second, while hundreds of hosts would each send it one. A host that has not had such an answer
//! would not know; if each host applied the limit alone, it would be exceeded once per host; and a
//! fixed share for each host would leave most of it unused where only some hosts have traffic.
//!
//! So the hosts tell each other what the answers say, and each host that places requests counts the
//! requests of all hosts, which they announce to each other anyway, in a [`Bucket`] of its own.
//! Hosts that need the upstream at the same moment would all use the same permit before they hear
//! of each other; the [`Turns`] let one of them go first, another one for each upstream, and the
//! others a moment later. A permit that is used twice all the same is a debt, which every host
//! waits for. A host that does not hear from some zones fills its buckets only at the share of the
//! zones that it hears from, as the hosts of the others keep using theirs.
//!
//! When all upstreams of a service have a limit, requests wait in the [`Queue`] while they can be
//! in time. The others are refused at once with a time to come back, as far as possible one at
//! which a permit is kept for the caller; the [`Supply`] tells when there will be permits.

mod bucket;
mod limit;
mod queue;
mod supply;
mod turns;

pub use bucket::Bucket;
pub use limit::{Change, Limit, Observation};
pub use queue::{Queue, Requester};
pub use supply::Supply;
pub use turns::Turns;
