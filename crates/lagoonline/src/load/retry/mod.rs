//! Limits on retries.
//!
//! Load pattern: saturation or failing upstreams, where many attempts fail at once. Without a limit
//! each failure becomes another request, the load grows when there is least capacity for it, and
//! the overload feeds itself.
//!
//! A [`Budget`] keeps a bound that holds for all entry hosts together: in any window, retries are at
//! most a share of the requests and a fixed number beyond, the slack. Hosts start, are killed and
//! are cut off from each other within a window, so no host can know what all of them used.
//!
//! - The slack is divided evenly among availability zones, which then need not hear of each other,
//!   and a share of requests follows the traffic by itself.
//! - Within a zone the hosts tell each other what they used in the window. Whoever decides on a
//!   retry (each host, or the zone's scheduler) counts what the whole zone used; a host that starts
//!   is told by the others, also what the lives before it used.
//! - What is not known is not taken for unused. A host that nobody tells of the window before its
//!   start gets a small part of the slack that grows with the time that it has seen itself. A host
//!   that hears only some hosts of its zone uses their part of the slack.
//! - Hosts that decide at the same moment have not heard of each other yet. Each takes at most its
//!   part of what is left until all others have shown that they know of it, and the next retry waits
//!   for that.
//! - Upstreams count a request when they read it, which may be long after it was sent. Its retries
//!   count until the connections on which it was sent show that they were read or have ended.
//!
//! A [`Bucket`] limits the retries of one process by itself.

mod bucket;
mod budget;
mod unread;
mod window;

pub use bucket::Bucket;
pub use budget::{Budget, Report, Settings, Sharing, TURN, Verdict};
pub use window::Usage;
