//! Which stewards live, and who watches whom.
//!
//! Load pattern: one datagram in twenty is lost, delays vary, a process may be paused; 20 hosts
//! fail and 330 restart in a day, sometimes a rack or a zone at once. Heartbeats of everybody to
//! everybody would cost a host of a 39-host zone several times its whole budget, so each host
//! exchanges them with a few neighbours only. A host that hears nothing of a neighbour votes
//! against it; votes reach everybody, and each host counts them by itself: dead is who has the
//! majority of its neighbours against it. A vote is taken back when its voter hears the host again,
//! and a host that learns of a vote against it goes on in a new life, which voids the votes; so no
//! verdict is wrong for good.

mod group;
mod roster;

pub use group::*;
pub use roster::*;
