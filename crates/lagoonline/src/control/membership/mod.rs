//! Membership and failure detection of the stewards.
//!
//! Designed for the following conditions: one datagram in twenty is lost, delays vary, and a
//! process may be paused. Of some 350 hosts, 20 fail and 330 restart per day, sometimes a whole
//! rack or zone at once.
//!
//! All-to-all heartbeats would cost a host in a 39-host zone several times its network budget, so
//! each host exchanges heartbeats with a few neighbours only. A host that receives no heartbeats
//! from a neighbour votes against it. Votes are propagated to all hosts, and each host counts them
//! independently: a member is dead when the majority of its neighbours voted against it. Neighbours
//! that have votes against themselves are not counted.
//!
//! Wrong decisions are corrected. A voter withdraws its vote when it receives a heartbeat from the
//! member again, and a host that learns of a vote against itself starts a new incarnation, which
//! invalidates the votes.

mod group;
mod roster;

pub use group::*;
pub use roster::*;
